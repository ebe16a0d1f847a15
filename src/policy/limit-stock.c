#include "policy/limit-stock.h"

#include "policy/limit-ledger.h"

/* A question that is not answered is asked again after this time: several times that of an answer
 * from another region. */
#define ASK_AGAIN_MS 120
/* Interval of questions for a customer over its limit, whose callers come back at once: they are
 * asked for together, so that they cost the host that hands out little. */
#define OVER_LIMIT_INTERVAL_MS 30

bool
limit_stock_take (LimitStock *stock, int64_t now_ms)
{
  if (stock->granted == 0 || now_ms >= stock->expires_ms)
    return false;
  stock->granted--;
  return true;
}

bool
limit_stock_is_due (const LimitStock *stock, int64_t now_ms)
{
  if (stock->asked > 0)
    return now_ms - stock->asked_ms >= ASK_AGAIN_MS;
  return now_ms - stock->short_ms >= OVER_LIMIT_INTERVAL_MS;
}

void
limit_stock_ask (LimitStock *stock, uint32_t count, int64_t now_ms)
{
  stock->asked = count;
  stock->asked_ms = now_ms;
}

static void
add_granted (LimitStock *stock, uint32_t granted, int64_t expires_ms, int64_t now_ms)
{
  if (now_ms >= stock->expires_ms)
    stock->granted = 0;
  // Of two answers the earlier end holds for all.
  if (stock->granted == 0 || expires_ms < stock->expires_ms)
    stock->expires_ms = expires_ms;
  stock->granted += granted;
}

uint32_t
limit_stock_answer (LimitStock *stock, int64_t asked_ms, uint32_t granted, bool more,
                    int64_t now_ms)
{
  const uint32_t asked = asked_ms == stock->asked_ms ? stock->asked : 0;

  if (now_ms - asked_ms >= LIMIT_GRANT_MS)
    return 0;
  if (granted > 0)
    add_granted (stock, granted, asked_ms + LIMIT_GRANT_MS, now_ms);
  if (asked == 0)
    return 0;
  stock->asked = 0;
  if (granted >= asked)
    return 0;
  stock->short_ms = now_ms;
  return more ? 0 : asked - granted;
}
