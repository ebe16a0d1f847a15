/**
 * DOC: What each customer may still run under its limit, kept by the one host that hands it out
 * (see limit-lease.h). Answers a customer that sends more than its limit, from however many hosts:
 * an operation that is handed out is started within %LIMIT_GRANT_MS or never, so no span of time
 * sees more than the limit allows and what was handed out just before.
 */
#pragma once

#include <stdint.h>

#include <glib.h>

/**
 * An operation that was handed out may be started until this time after it was asked for. In
 * milliseconds.
 */
#define LIMIT_GRANT_MS 400

typedef struct LimitLedger LimitLedger;

/** limit_ledger_new() - Without customers. */
LimitLedger *limit_ledger_new (void);

/** limit_ledger_free() - Frees it. */
void limit_ledger_free (LimitLedger *ledger);

/**
 * limit_ledger_set() - Limit of @customer: @rate operations a second, and @burst at once. A
 * customer that the ledger does not have yet may run @initial operations at once.
 */
void limit_ledger_set (LimitLedger *ledger, uint64_t customer, double rate, double burst,
                       double initial, int64_t now_ms);

/** limit_ledger_level() - Operations that @customer may run at once. */
double limit_ledger_level (LimitLedger *ledger, uint64_t customer, int64_t now_ms);

/** limit_ledger_clear() - Forgets all customers. */
void limit_ledger_clear (LimitLedger *ledger);

/** limit_ledger_take() - Hands out up to @count operations; returns how many. */
uint32_t limit_ledger_take (LimitLedger *ledger, uint64_t customer, uint32_t count, int64_t now_ms);
