/**
 * DOC: One piece of work at an owner, from its arrival to its answer.
 */
#pragma once

#include "pipeline/group-owner.h"

/** owner_job_start() - Takes in the Execute frame @frame, which it owns. */
void owner_job_start (GroupOwner *group, Origin origin, Frame *frame);

/** owner_job_recheck() - Looks again whether a waiting job may be queued. */
void owner_job_recheck (OwnerJob *job);

/** owner_job_run() - The queue chose this job: it has a slot. */
void owner_job_run (OwnerJob *job);

/** owner_job_acquire_connection() - A connection may be had for a job that has a slot. */
bool owner_job_acquire_connection (OwnerJob *job);

/** owner_job_requeue() - Taken out of the queue: back into it, or refused if it can't run here. */
void owner_job_requeue (OwnerJob *job);

/** owner_job_expire() - Its deadline passed in the queue. */
void owner_job_expire (OwnerJob *job);

/** owner_job_credit() - The caller's side took @bytes of the answer. */
void owner_job_credit (OwnerJob *job, uint32_t bytes);

/** owner_job_cancel() - Nobody needs it any more. */
void owner_job_cancel (OwnerJob *job);

/** owner_job_orphan() - Nobody is left to take its answer. */
void owner_job_orphan (OwnerJob *job);

/** owner_job_transaction_callbacks() - Fills @user with the holder of a pinned connection. */
const PooledCallbacks *owner_job_transaction_callbacks (OwnerTransaction *transaction,
                                                        PooledCallbacks *user);

/** owner_job_origin() - Where its answer goes. */
Origin owner_job_origin (const OwnerJob *job);

/** owner_job_tick() - Time limits of a running job. */
void owner_job_tick (OwnerJob *job, int64_t now_ms);

/** owner_job_released() - The gate let its answer go, or not. */
void owner_job_released (OwnerJob *job, GateResult result);

/** owner_job_sampled() - The position it waited for. */
void owner_job_sampled (OwnerJob *job, SessionToken position);

/** owner_job_resolved() - The outcome it waited for. */
void owner_job_resolved (OwnerJob *job, bool known, bool committed, SessionToken position);
