/**
 * DOC: What one host may run for one customer under its limit, and what it asks the host for that
 * hands it out (see limit-lease.h). One question is under way at a time, for all operations that
 * wait; its answer is of use for a short time only.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct LimitStock - Zeroed before use.
 * @granted: operations handed out and not started yet; until @expires_ms.
 * @asked: operations asked for at @asked_ms; 0 if no question is under way.
 * @short_ms: when fewer operations than were asked for were last handed out.
 */
typedef struct
{
  uint32_t granted;
  int64_t expires_ms;
  uint32_t asked;
  int64_t asked_ms;
  int64_t short_ms;
} LimitStock;

/** limit_stock_take() - Whether an operation may start now. */
bool limit_stock_take (LimitStock *stock, int64_t now_ms);

/** limit_stock_is_due() - Whether to ask now, if operations wait. */
bool limit_stock_is_due (const LimitStock *stock, int64_t now_ms);

/** limit_stock_ask() - A question for @count operations is sent. */
void limit_stock_ask (LimitStock *stock, uint32_t count, int64_t now_ms);

/**
 * limit_stock_answer() - @granted operations are handed out by the answer to the question of
 * @asked_ms. Returns how many of those that wait are over the limit; none if there may be @more
 * soon. The answer to an earlier question counts too, unless it is so late that its operations have
 * expired.
 */
uint32_t limit_stock_answer (LimitStock *stock, int64_t asked_ms, uint32_t granted, bool more,
                             int64_t now_ms);
