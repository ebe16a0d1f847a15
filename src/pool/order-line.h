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

typedef struct CommandChannel CommandChannel;

/** enum CommandResult - What became of an order. */
typedef enum
{
  COMMAND_ANSWERED,    /* the report is valid */
  COMMAND_REFUSED,     /* the instance answered with an error */
  COMMAND_BUSY,        /* the instance had no slot for it: it lives */
  COMMAND_UNREACHABLE, /* nobody listens at the address */
  COMMAND_UNANSWERED,  /* no answer in time; it may have been carried out */
  COMMAND_DISPLACED    /* another instance stands at the address */
} CommandResult;

/** CommandEnded - @report is valid for %COMMAND_ANSWERED; @sent_ms is when it was sent. */
typedef void (*CommandEnded) (void *data, CommandResult result, const InstanceReport *report,
                              int64_t sent_ms);

/** command_channel_new() - For orders to the instance @info, which is copied. */
CommandChannel *command_channel_new (TALLOC_CTX *parent, struct tevent_context *events,
                                     TimerQueue *timers, const Codec *codec,
                                     const InstanceInfo *info);

/** command_channel_send() - Sends an order when those before it have ended. */
void command_channel_send (CommandChannel *line, InstanceCommand order, uint64_t term,
                           CommandEnded ended, void *data);

/** command_channel_cancel() - Ends all orders as unreached. Freeing the line ends them in silence.
 */
void command_channel_cancel (CommandChannel *line);

/** command_result_name() - Name for logs. */
const char *command_result_name (CommandResult result);
