/**
 * DOC: Sends commands to one instance, one at a time, on a separate connection that is opened when
 * needed.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"
#include "pool/catalog.h"
#include "pool/codec.h"

typedef struct CommandChannel CommandChannel;

/** enum CommandResult - Outcome of a command. */
typedef enum
{
  COMMAND_ANSWERED,    /* the report is valid */
  COMMAND_REFUSED,     /* the instance answered with an error */
  COMMAND_BUSY,        /* the instance had no slot or connection for it: it is alive */
  COMMAND_UNREACHABLE, /* connecting failed */
  COMMAND_UNANSWERED,  /* no answer in time; it may have been carried out */
  COMMAND_DISPLACED    /* another instance has taken over the address */
} CommandResult;

/** CommandEnded - @report is valid for %COMMAND_ANSWERED; @sent_ms is when the command was sent. */
typedef void (*CommandEnded) (void *data, CommandResult result, const InstanceReport *report,
                              int64_t sent_ms);

/** command_channel_new() - Channel to the instance @info, which is copied. */
CommandChannel *command_channel_new (TALLOC_CTX *parent, struct tevent_context *events,
                                     TimerQueue *timers, const Codec *codec,
                                     const InstanceInfo *info);

/**
 * command_channel_send() - Sends a command once the earlier ones have ended. Only the commands to
 * pause and to step down carry @fencing_token.
 */
void command_channel_send (CommandChannel *channel, InstanceCommand command, uint64_t fencing_token,
                           CommandEnded ended, void *data);

/**
 * command_channel_cancel() - Ends all commands as %COMMAND_UNREACHABLE. Freeing the channel ends
 * them without a callback.
 */
void command_channel_cancel (CommandChannel *channel);

/** command_result_name() - Name of @result in log lines. */
const char *command_result_name (CommandResult result);
