/**
 * DOC: The verdict on a request: whether it may have run, with the error the caller sees.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>

/** enum Verdict - What is known about a request's effect. */
typedef enum
{
  VERDICT_RAN,         /* it took effect, as answered */
  VERDICT_NOT_RUN,     /* there is evidence that it had and will have no effect */
  VERDICT_MAY_HAVE_RUN /* neither can be shown */
} Verdict;

/** enum RefusalKind - The reasons for which the system itself ends a request. */
typedef enum
{
  REFUSAL_NONE,
  REFUSAL_OVERLOAD,        /* the expected wait exceeds the deadline */
  REFUSAL_DEADLINE,        /* the deadline passed in the queue */
  REFUSAL_NOT_OWNER,       /* the host asked does not own the instance */
  REFUSAL_NOT_PRIMARY,     /* the instance is no longer the primary */
  REFUSAL_BEHIND,          /* the replica is behind the session or too old */
  REFUSAL_NO_MAJORITY,     /* no majority of the group answers */
  REFUSAL_BACKEND_DOWN,    /* no connection to the backend server */
  REFUSAL_DRAINING,        /* the host or the backend server is leaving */
  REFUSAL_ISOLATED,        /* the host reaches neither the store nor most of its peers */
  REFUSAL_CANCELLED,       /* cancelled before it started */
  REFUSAL_ROLLED_BACK,     /* the transaction was rolled back */
  REFUSAL_NOT_SUPPORTED,   /* the proxy does not offer this */
  REFUSAL_IN_DOUBT,        /* the outcome could not be settled in time */
  REFUSAL_ANSWER_LOST,     /* it took effect; its answer was lost */
  REFUSAL_UNKNOWN_SERVICE, /* no such service in the configuration */
  REFUSAL_COUNT
} RefusalKind;

/** struct RefusalInfo - How a refusal is reported and whether another try may help. */
typedef struct
{
  const char *name;
  const char *sqlstate;
  const char *message;
  Verdict verdict;
  bool retryable;
} RefusalInfo;

/** refusal_info() - The row of the static refusal table for @kind. */
const RefusalInfo *refusal_info (RefusalKind kind);

/** verdict_name() - "ran", "not run" or "may have run". */
const char *verdict_name (Verdict verdict);

/** peridotstep_error_quark() - Domain of the GErrors of this program. */
GQuark peridotstep_error_quark (void);

#define PERIDOTSTEP_ERROR peridotstep_error_quark ()

/** enum PeridotstepError - Codes in %PERIDOTSTEP_ERROR. */
typedef enum
{
  PERIDOTSTEP_ERROR_SETTING,
  PERIDOTSTEP_ERROR_CONFIG,
  PERIDOTSTEP_ERROR_CONFLICT,
  PERIDOTSTEP_ERROR_PROTOCOL,
  PERIDOTSTEP_ERROR_STORE,
  PERIDOTSTEP_ERROR_IO
} PeridotstepError;
