/**
 * DOC: One service as this host sees it: its instances, which of them leads, what its log
 * position was when, and whether this host may still take the primary for the primary.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"
#include "policy/placement.h"
#include "policy/position-history.h"
#include "pool/catalog.h"
#include "pool/instance-pool.h"
#include "pool/order-line.h"

typedef struct ServiceGroup ServiceGroup;

/**
 * A host relies on a primary for this long after the last proof that it led its group; whoever
 * replaces a primary waits as long for hosts that it does not hear. Several beats, in milliseconds.
 */
#define PRIMARY_LEASE_MS 800

/**
 * A leaving instance gets no new work after this time, whether another can do it or not; less
 * than instances stay after they have announced it. In milliseconds.
 */
#define LEAVING_GRACE_MS 3000

/** Instances of a group that are looked at; a group has three, and more while one is replaced. */
#define GROUP_MEMBERS_MAX 16

/**
 * struct GroupMember - An instance of the group.
 * @last_position: last log position it showed.
 * @latency_ms: averaged time of its answers.
 * @behind_streak: times in a row that it lacked a position.
 * @displaced: another instance stands at its address.
 * @silent: it owes answers, and gave no sign of life when asked.
 * @leaving_since_ms: this host knows since then that it leaves; 0 while it stays.
 * @answered_sent_ms: when the last sent of the statements that it answered was sent.
 * @report_pending: a report is due.
 */
typedef struct
{
  ServiceGroup *group;
  InstancePool *pool;
  CommandChannel *commands;
  Distance distance;
  SessionToken last_position;
  double latency_ms;
  int64_t behind_until_ms;
  uint32_t behind_streak;
  int64_t refused_until_ms;
  bool displaced;
  bool silent;
  int64_t leaving_since_ms;
  int64_t answered_sent_ms;
  bool check_pending;
  int64_t checked_ms;
  bool report_pending;
} GroupMember;

/**
 * struct ServiceGroupOptions - The daemon's part.
 * @domain_region: table failure domain to region.
 * @refresh_instances: the list of instances may be out of date.
 */
typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  const Codec *codec;
  const char *failure_domain;
  const char *region;
  const GHashTable *domain_region;
  void (*refresh_instances) (void *data);
  void *data;
} ServiceGroupOptions;

/**
 * struct GroupWaiter - One who waits for news of the group, embedded in its user.
 * @woken: something changed; look again.
 */
typedef struct
{
  void (*woken) (void *data);
  void *data;
  ServiceGroup *group; /* %NULL while not waiting */
} GroupWaiter;

/** service_group_new() - Group called @name, without instances. */
ServiceGroup *service_group_new (TALLOC_CTX *parent, const ServiceGroupOptions *options,
                                 const char *name);

/** service_group_name() - Name of the service. */
const char *service_group_name (const ServiceGroup *group);

/** service_group_set_instances() - The instances as listed now; others are let go. */
void service_group_set_instances (ServiceGroup *group, const InstanceInfo *infos, uint32_t count);

/** service_group_primary() - Pool of the primary if this host may rely on it, or %NULL. */
InstancePool *service_group_primary (ServiceGroup *group);

/**
 * service_group_choose_for_read() - Pool for a read that must see all commits acknowledged before
 * @since_ms, and @session. @after is the position to ask for; zero if none is needed. Returns
 * %NULL if it can't be told now. @tried: bit mask of refusals, see service_group_member_bit().
 */
InstancePool *service_group_choose_for_read (ServiceGroup *group, int64_t since_ms,
                                             SessionToken session, Priority priority,
                                             uint32_t tried, SessionToken *after);

/** service_group_member_bit() - Bit of the instance of @pool in masks of refusals; 0 when gone. */
uint32_t service_group_member_bit (const ServiceGroup *group, const InstancePool *pool);

/** service_group_wait() - @waiter is woken when something changed; asks the instances. */
void service_group_wait (ServiceGroup *group, GroupWaiter *waiter);

/** service_group_cancel_wait() - @waiter waits no more. */
void service_group_cancel_wait (GroupWaiter *waiter);

/**
 * service_group_note_answer() - An instance answered a statement sent at @sent_ms.
 * @committed: a commit that wrote was acknowledged.
 */
void service_group_note_answer (ServiceGroup *group, const InstancePool *pool,
                                const StatementResult *result, int64_t sent_ms, bool committed);

/** service_group_answered_later() - The answer to a statement sent at @sent_ms is probably lost. */
bool service_group_answered_later (const ServiceGroup *group, const InstancePool *pool,
                                   int64_t sent_ms);

/**
 * service_group_may_acknowledge() - Whether a commit at the instance of @pool may be told to its
 * caller: not once this host has said that it does not rely on that primary.
 */
bool service_group_may_acknowledge (const ServiceGroup *group, const InstancePool *pool);

/** service_group_is_primary() - Whether the instance of @pool is taken for the primary. */
bool service_group_is_primary (const ServiceGroup *group, const InstancePool *pool);

/** service_group_distance() - Distance of the instance of @pool. */
Distance service_group_distance (const ServiceGroup *group, const InstancePool *pool);

/** service_group_note_commit_sent() - A commit that writes was sent to the instance of @pool. */
void service_group_note_commit_sent (ServiceGroup *group, const InstancePool *pool);

/** service_group_members() - The instances; @count of them. */
GroupMember *const *service_group_members (const ServiceGroup *group, uint32_t *count);

/** struct GroupView - What the host holds true of the primary; ages in the host's time. */
typedef struct
{
  const char *primary; /* "" if none is known */
  uint64_t term;
  int64_t confirmed_ms;            /* it led its group then; 0 for never */
  PositionSample position;         /* its last position known; time 0 for none */
  SessionToken committed;          /* nothing beyond it was acknowledged, as far as is known here */
  int64_t commit_sent_ms;          /* a commit was last sent; 0 for never */
  int64_t commit_pending_since_ms; /* none has ended since this one was sent; 0 if the last ended */
} GroupView;

/** service_group_view() - What this host holds true. */
void service_group_view (const ServiceGroup *group, GroupView *belief);

/** service_group_note_report() - An instance reported, asked at @sent_ms. */
void service_group_note_report (ServiceGroup *group, GroupMember *member,
                                const InstanceReport *report, int64_t sent_ms);

/** service_group_adopt_primary() - Another host knows that @member leads in the greater @term. */
void service_group_adopt_primary (ServiceGroup *group, const GroupMember *member, uint64_t term);

/** service_group_confirm_primary() - Another host knew at @at_ms that the primary led its group. */
void service_group_confirm_primary (ServiceGroup *group, int64_t at_ms);

/** service_group_note_position() - Another host saw the primary at @position at @at_ms. */
void service_group_note_position (ServiceGroup *group, int64_t at_ms, SessionToken position);

/** service_group_set_fenced() - Whether the primary is not to be relied on: it is replaced. */
void service_group_set_fenced (ServiceGroup *group, bool fenced);

/** service_group_tick() - Time limits. */
void service_group_tick (ServiceGroup *group, int64_t now_ms);
