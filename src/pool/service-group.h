/**
 * DOC: This host's view of one service: its instances, which of them is the primary, the primary's
 * log position over time, and whether this host still holds a lease on that primary.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"
#include "base/wait-queue.h"
#include "policy/commit-floor.h"
#include "policy/instance-speed.h"
#include "policy/outlier.h"
#include "policy/placement.h"
#include "policy/position-history.h"
#include "pool/catalog.h"
#include "pool/instance-pool.h"
#include "pool/command-channel.h"

typedef struct ServiceGroup ServiceGroup;

/**
 * Lease: a host relies on a primary for this long after the last confirmation that it led its
 * group, and a host that replaces a primary waits as long for hosts that it does not hear from.
 * Several heartbeat intervals, in milliseconds.
 */
#define PRIMARY_LEASE_MS 800

/**
 * A leaving instance gets no new work after this time, even if no other instance can take it.
 * Shorter than the time that instances stay up after they announce that they leave. In
 * milliseconds.
 */
#define LEAVING_GRACE_MS 3000

/** Most instances tracked per group; a group has three, and more while one is being replaced. */
#define GROUP_MEMBERS_MAX 16

/**
 * struct GroupMember - An instance of the group.
 * @last_position: highest log position it has reported.
 * @speed: how fast it answers, by class of work.
 * @behind_until_ms: not used for reads that need a newer position before then.
 * @behind_streak: consecutive times that it lacked a required position.
 * @refused_until_ms: it had no free slot; others are preferred until then.
 * @outlier: how much of its work fails, compared with the others.
 * @displaced: another instance has taken over its address.
 * @unresponsive: it owes answers and did not respond to a status command.
 * @leaving_since_ms: when this host learned that it leaves; 0 if it stays.
 * @answered_sent_ms: send time of the latest statement that it has answered.
 * @check_pending: a liveness check is under way. @checked_ms: when the last one started.
 * @report_pending: a status command is under way.
 * @pause_token: fencing token of the pause that it reported last; 0 for none.
 * @report_sent_ms: when that report was asked for; 0 for none.
 */
typedef struct
{
  ServiceGroup *group;
  InstancePool *pool;
  CommandChannel *commands;
  Distance distance;
  SessionToken last_position;
  InstanceSpeed speed;
  int64_t behind_until_ms;
  uint32_t behind_streak;
  int64_t refused_until_ms;
  Outlier outlier;
  bool displaced;
  bool unresponsive;
  int64_t leaving_since_ms;
  int64_t answered_sent_ms;
  bool check_pending;
  int64_t checked_ms;
  bool report_pending;
  uint64_t pause_token;
  int64_t report_sent_ms;
} GroupMember;

/**
 * struct ServiceGroupOptions - Settings and parts of the daemon that a group uses.
 * @domain_region: failure domain to region.
 * @refresh_instances: the instance list may be out of date.
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

/** service_group_new() - Group of service @name, without instances. */
ServiceGroup *service_group_new (TALLOC_CTX *parent, const ServiceGroupOptions *options,
                                 const char *name);

/** service_group_name() - Name of the service. */
const char *service_group_name (const ServiceGroup *group);

/**
 * service_group_set_instances() - Sets the current instance list; instances not in it are removed.
 */
void service_group_set_instances (ServiceGroup *group, const InstanceInfo *infos, uint32_t count);

/** service_group_primary() - Pool of the primary if this host may rely on it, or %NULL. */
InstancePool *service_group_primary (ServiceGroup *group);

/**
 * service_group_choose_for_read() - Pool for a read that must see all commits acknowledged before
 * @since_ms, and position @session. Returns %NULL if no instance is known to qualify now. @tried is
 * a bit mask of instances that refused the read, see service_group_member_bit(). @after is the
 * position that the instance must check; zero if none is needed.
 */
InstancePool *service_group_choose_for_read (ServiceGroup *group, int64_t since_ms,
                                             SessionToken session, Priority priority,
                                             uint32_t tried, SessionToken *after);

/** service_group_member_bit() - Bit of the instance of @pool in such masks; 0 if it was removed. */
uint32_t service_group_member_bit (const ServiceGroup *group, const InstancePool *pool);

/** service_group_wait() - Wakes @waiter at the next change; queries the instances if needed. */
void service_group_wait (ServiceGroup *group, Waiter *waiter);

/**
 * service_group_record_answer() - An instance answered a statement of @priority sent at @sent_ms.
 * @committed: a commit that wrote was acknowledged.
 */
void service_group_record_answer (ServiceGroup *group, const InstancePool *pool,
                                  const StatementResult *result, Priority priority, int64_t sent_ms,
                                  bool committed);

/**
 * service_group_answered_later() - Whether the instance has answered a statement sent well after
 * @sent_ms, so that an answer still due to one sent at @sent_ms is probably lost.
 */
bool service_group_answered_later (const ServiceGroup *group, const InstancePool *pool,
                                   int64_t sent_ms);

/**
 * service_group_may_acknowledge() - Whether a commit at the instance of @pool may be acknowledged
 * to its caller: not after this host has reported to its peers that it does not rely on that
 * primary, nor after its lease has ended, when a replica may have confirmed the commit that was
 * resumed after a change of primary.
 */
bool service_group_may_acknowledge (const ServiceGroup *group, const InstancePool *pool);

/** service_group_is_primary() - Whether this host considers the instance of @pool the primary. */
bool service_group_is_primary (const ServiceGroup *group, const InstancePool *pool);

/** service_group_distance() - Network distance of the instance of @pool. */
Distance service_group_distance (const ServiceGroup *group, const InstancePool *pool);

/** service_group_record_lost() - @pool did not answer a statement, or lost the connection. */
void service_group_record_lost (ServiceGroup *group, const InstancePool *pool);

/**
 * service_group_is_suspect() - Whether the instance fails so much more than the others of the group
 * that a read that failed there is worth a try elsewhere.
 */
bool service_group_is_suspect (const ServiceGroup *group, const InstancePool *pool);

/** service_group_record_commit_sent() - A commit that writes was sent to the instance of @pool. */
void service_group_record_commit_sent (ServiceGroup *group, const InstancePool *pool);

/** service_group_record_in_doubt() - A commit ended there that must not be acknowledged. */
void service_group_record_in_doubt (ServiceGroup *group, const InstancePool *pool);

/** service_group_members() - The instances; @count is set to their number. */
GroupMember *const *service_group_members (const ServiceGroup *group, uint32_t *count);

/** struct GroupView - This host's view of the primary. Times are on this host's clock. */
typedef struct
{
  const char *primary; /* "" if none is known */
  uint64_t term;
  uint64_t newest_term;      /* greatest one heard of */
  int64_t confirmed_ms;      /* last confirmation that it led its group; 0 for never */
  PositionSample position;   /* its last known position; time 0 for none */
  uint64_t position_host;    /* the host that saw it there; 0 for this one */
  SessionToken committed;    /* no commit beyond it was acknowledged, as far as this host knows */
  SessionToken acknowledged; /* a commit at this position or later was acknowledged to this host */
  int64_t commit_sent_ms;    /* when a commit was last sent; 0 for never */
  int64_t commit_pending_since_ms; /* send time of the first commit since the last one that ended; 0
                                      for none */
} GroupView;

/** service_group_view() - Fills @view. */
void service_group_view (const ServiceGroup *group, GroupView *view);

/** service_group_record_report() - @member reported its state, queried at @sent_ms. */
void service_group_record_report (ServiceGroup *group, GroupMember *member,
                                  const InstanceReport *report, int64_t sent_ms);

/** service_group_query_replicas() - Asks the instances other than the primary for a report. */
void service_group_query_replicas (ServiceGroup *group);

/** service_group_adopt_primary() - A peer reports @member as the primary of a higher @term. */
void service_group_adopt_primary (ServiceGroup *group, const GroupMember *member, uint64_t term);

/** service_group_hear_term() - Host @host knows that an instance leads, or has led, in @term. */
void service_group_hear_term (ServiceGroup *group, uint64_t term, uint64_t host);

/**
 * service_group_confirm_primary() - The primary is known to have led its group at @at_ms. @host: on
 * whose word, for logs; 0 for this host.
 */
void service_group_confirm_primary (ServiceGroup *group, int64_t at_ms, uint64_t host);

/** service_group_record_position() - Host @host saw the primary at @position at @at_ms. */
void service_group_record_position (ServiceGroup *group, int64_t at_ms, SessionToken position,
                                    uint64_t host);

/** service_group_set_fenced() - Whether the primary is being replaced and must not be relied on. */
void service_group_set_fenced (ServiceGroup *group, bool fenced);

/** service_group_is_used() - Whether connections are in use, or sessions wait for the group. */
bool service_group_is_used (const ServiceGroup *group);

/** service_group_close_idle() - Closes the connections that nobody uses. */
void service_group_close_idle (ServiceGroup *group);

/** service_group_tick() - Applies time limits. */
void service_group_tick (ServiceGroup *group, int64_t now_ms);
