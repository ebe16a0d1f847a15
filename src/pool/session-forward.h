/**
 * DOC: Forwards a caller's session to an owner of its service: the caller's messages go to the
 * owner unchanged, and its answers come back. When the owner is lost, the caller is told whether
 * its statement may have run.
 */
#pragma once

#include "pool/pool-session.h"

/**
 * session_forward_open() - Opens the caller's session at an owner. @open holds the caller's message
 * that opens the session. Without any owner the session is served by this host.
 */
void session_forward_open (PoolSession *session, GBytes *open);

/** session_forward_message() - Forwards the message in @bytes, which was parsed as @message. */
void session_forward_message (PoolSession *session, CallerMessage *message, const guint8 *bytes,
                              size_t length);

/** session_forward_buffered() - Memory of the connection to the owner, in bytes. */
gsize session_forward_buffered (const SessionForward *forward);

/** session_forward_answer_unfinished() - See session_answer_unfinished(). */
void session_forward_answer_unfinished (PoolSession *session, const char *reason);

/**
 * session_forward_check() - Ends the session if it is idle and its owner is draining, or its
 * route has changed: the caller opens it again elsewhere.
 */
void session_forward_check (PoolSession *session);
