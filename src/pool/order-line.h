/**
 * DOC: Orders to one instance, one after another, on a connection of their own that is
 * opened when needed.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"
#include "pool/catalog.h"
#include "pool/codec.h"

typedef struct OrderLine OrderLine;

/** enum OrderResult - What became of an order. */
typedef enum
{
  ORDER_ANSWERED,   /* the report is valid */
  ORDER_REFUSED,    /* the instance answered with an error */
  ORDER_BUSY,       /* the instance had no slot for it: it lives */
  ORDER_UNREACHED,  /* nobody listens at the address */
  ORDER_UNANSWERED, /* no answer in time; it may have been carried out */
  ORDER_DISPLACED   /* another instance stands at the address */
} OrderResult;

/** OrderEnded - @report is valid for %ORDER_ANSWERED; @sent_ms is when it was sent. */
typedef void (*OrderEnded) (void *data, OrderResult result, const InstanceReport *report,
                            int64_t sent_ms);

/** order_line_new() - For orders to the instance @info, which is copied. */
OrderLine *order_line_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers,
                           const Codec *codec, const InstanceInfo *info);

/** order_line_send() - Sends an order when those before it have ended. */
void order_line_send (OrderLine *line, OrderKind order, uint64_t term, OrderEnded ended,
                      void *data);

/** order_line_cancel() - Ends all orders as unreached. Freeing the line ends them in silence. */
void order_line_cancel (OrderLine *line);

/** order_result_name() - Name for logs. */
const char *order_result_name (OrderResult result);
