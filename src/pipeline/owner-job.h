/**
 * DOC: One request at the owner of an instance, from its arrival to its response.
 */
#pragma once

#include "pipeline/group-owner.h"

/**
 * owner_job_start() - Starts a job for the Execute frame @frame and takes ownership of the frame.
 */
void owner_job_start (GroupOwner *group, Origin origin, Frame *frame);

/** owner_job_recheck() - Checks again whether a waiting job may be queued. */
void owner_job_recheck (OwnerJob *job);

/** owner_job_run() - Runs a job that was taken from the queue and now holds a slot. */
void owner_job_run (OwnerJob *job);

/**
 * owner_job_acquire_connection() - Tries to start a job that holds a slot; false if no connection
 * is available yet.
 */
bool owner_job_acquire_connection (OwnerJob *job);

/**
 * owner_job_requeue() - Queues a job again that was taken out of the queue, or refuses it if it
 * can't run on the instance any more.
 */
void owner_job_requeue (OwnerJob *job);

/** owner_job_expire() - Refuses a job whose deadline passed in the queue. */
void owner_job_expire (OwnerJob *job);

/**
 * owner_job_credit() - Records that the entry host has consumed @bytes of the response, and resumes
 * reading from the backend server if the window allows it.
 */
void owner_job_credit (OwnerJob *job, uint32_t bytes);

/** owner_job_cancel() - Cancels a job whose result is no longer needed. */
void owner_job_cancel (OwnerJob *job);

/**
 * owner_job_orphan() - Cancels a job whose response can't be delivered any more; a running write is
 * left to finish.
 */
void owner_job_orphan (OwnerJob *job);

/**
 * owner_job_transaction_callbacks() - Fills @callbacks in for a connection pinned to @transaction.
 */
const PooledCallbacks *owner_job_transaction_callbacks (OwnerTransaction *transaction,
                                                        PooledCallbacks *callbacks);

/** owner_job_origin() - Where the response is sent. */
Origin owner_job_origin (const OwnerJob *job);

/** owner_job_tick() - Enforces the time limits of a job. */
void owner_job_tick (OwnerJob *job, int64_t now_ms);

/** owner_job_released() - Handles the result of the commit gate for the job's response. */
void owner_job_released (OwnerJob *job, GateResult result);

/** owner_job_sampled() - Handles the position that the job was waiting for. */
void owner_job_sampled (OwnerJob *job, SessionToken position);

/** owner_job_resolved() - Handles the transaction outcome that the job was waiting for. */
void owner_job_resolved (OwnerJob *job, bool known, bool committed, SessionToken position);
