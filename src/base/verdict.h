/**
 * DOC: The verdict on a request (whether it may have run), the errors that callers see, and the
 * GError domain of the program.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>

/** enum Verdict - What is known about the effect of a request. */
typedef enum
{
  VERDICT_RAN,         /* it took effect, and this is reported to the caller */
  VERDICT_NOT_RUN,     /* there is evidence that it had no effect and will have none */
  VERDICT_MAY_HAVE_RUN /* neither can be proven */
} Verdict;

/** enum RefusalKind - Reasons why the proxy itself ends a request with an error. */
typedef enum
{
  REFUSAL_NONE,
  REFUSAL_OVERLOAD,        /* the expected queue wait exceeds the deadline */
  REFUSAL_DEADLINE,        /* the deadline passed while the request was queued */
  REFUSAL_NOT_OWNER,       /* the receiving host does not own the instance */
  REFUSAL_NOT_PRIMARY,     /* the instance is no longer the primary */
  REFUSAL_BEHIND,          /* the replica has not reached the session's position, or is too stale */
  REFUSAL_NO_MAJORITY,     /* no majority of the group responds */
  REFUSAL_BACKEND_DOWN,    /* no connection to the backend server */
  REFUSAL_DRAINING,        /* the host or the backend server is draining */
  REFUSAL_ISOLATED,        /* the host reaches neither the store nor a majority of its peers */
  REFUSAL_CANCELLED,       /* cancelled before it started */
  REFUSAL_ROLLED_BACK,     /* the transaction was rolled back */
  REFUSAL_NOT_SUPPORTED,   /* not supported by the proxy */
  REFUSAL_IN_DOUBT,        /* the outcome could not be determined in time */
  REFUSAL_ANSWER_LOST,     /* it took effect, but its answer was lost */
  REFUSAL_UNKNOWN_SERVICE, /* no such service in the configuration */
  REFUSAL_COUNT
} RefusalKind;

/** struct RefusalInfo - How a refusal is reported, and whether a retry may succeed. */
typedef struct
{
  const char *name;
  const char *sqlstate;
  const char *message;
  Verdict verdict;
  bool retryable;
} RefusalInfo;

/** refusal_info() - Static table entry of @kind. */
const RefusalInfo *refusal_info (RefusalKind kind);

/** verdict_name() - "ran", "not run" or "may have run". */
const char *verdict_name (Verdict verdict);

/** peridotstep_error_quark() - GError domain of this program. */
GQuark peridotstep_error_quark (void);

#define PERIDOTSTEP_ERROR peridotstep_error_quark ()

/** enum PeridotstepError - Error codes of the domain %PERIDOTSTEP_ERROR. */
typedef enum
{
  PERIDOTSTEP_ERROR_SETTING,
  PERIDOTSTEP_ERROR_CONFIG,
  PERIDOTSTEP_ERROR_CONFLICT,
  PERIDOTSTEP_ERROR_PROTOCOL,
  PERIDOTSTEP_ERROR_STORE,
  PERIDOTSTEP_ERROR_IO
} PeridotstepError;
