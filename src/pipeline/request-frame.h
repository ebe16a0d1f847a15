/**
 * DOC: Builds the Execute frame of a request from its options and its session.
 */
#pragma once

#include "link/frame.h"
#include "pipeline/request.h"

/** request_frame_new() - Builds the frame, without the fields that each attempt sets. */
Frame *request_frame_new (const RequestOptions *options);

/** request_frame_set_transaction_id() - Sets the transaction id of an attempt. */
void request_frame_set_transaction_id (Frame *frame, const char *id);

/**
 * request_frame_resolve() - Builds a frame that looks up the outcome of @frame's transaction id.
 */
Frame *request_frame_resolve (const Frame *frame, uint64_t request, uint32_t instance,
                              uint32_t deadline_ms);
