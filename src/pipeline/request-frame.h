/**
 * DOC: The Execute frame of a request, made from its options and its session.
 */
#pragma once

#include "link/frame.h"
#include "pipeline/request.h"

/** request_frame_new() - Frame without the parts that each attempt fills in. */
Frame *request_frame_new (const RequestOptions *options);

/** request_frame_set_transaction_id() - Names the attempt's transaction. */
void request_frame_set_transaction_id (Frame *frame, const char *id);

/** request_frame_resolve() - Frame that looks up the outcome of @frame's transaction id. */
Frame *request_frame_resolve (const Frame *frame, uint64_t request, uint32_t instance,
                              uint32_t deadline_ms);
