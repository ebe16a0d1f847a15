#include "policy/limit-ledger.h"

typedef struct
{
  uint64_t customer;
  double rate;
  double burst;
  double level; /* at @at_ms */
  int64_t at_ms;
} Account;

struct LimitLedger
{
  GHashTable *accounts; /* customer to Account */
};

LimitLedger *
limit_ledger_new (void)
{
  LimitLedger *ledger = g_new (LimitLedger, 1);

  ledger->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return ledger;
}

void
limit_ledger_free (LimitLedger *ledger)
{
  g_hash_table_destroy (ledger->accounts);
  g_free (ledger);
}

static void
refill (Account *account, int64_t now_ms)
{
  const int64_t elapsed_ms = MAX (now_ms - account->at_ms, 0);

  account->level += account->rate * (double) elapsed_ms / 1000;
  account->level = MIN (account->level, account->burst);
  account->at_ms = MAX (account->at_ms, now_ms);
}

void
limit_ledger_set (LimitLedger *ledger, uint64_t customer, double rate, double burst, double initial,
                  int64_t now_ms)
{
  Account *account = g_hash_table_lookup (ledger->accounts, &customer);

  if (account == NULL)
    {
      account = g_new0 (Account, 1);
      account->customer = customer;
      account->rate = rate;
      account->burst = burst;
      account->level = initial;
      account->at_ms = now_ms;
      g_hash_table_insert (ledger->accounts, &account->customer, account);
    }
  refill (account, now_ms);
  account->rate = rate;
  account->burst = burst;
  account->level = MIN (account->level, burst);
}

double
limit_ledger_level (LimitLedger *ledger, uint64_t customer, int64_t now_ms)
{
  Account *account = g_hash_table_lookup (ledger->accounts, &customer);

  if (account == NULL)
    return 0;
  refill (account, now_ms);
  return account->level;
}

void
limit_ledger_clear (LimitLedger *ledger)
{
  g_hash_table_remove_all (ledger->accounts);
}

uint32_t
limit_ledger_take (LimitLedger *ledger, uint64_t customer, uint32_t count, int64_t now_ms)
{
  Account *account = g_hash_table_lookup (ledger->accounts, &customer);
  uint32_t taken;

  if (account == NULL)
    return 0;
  refill (account, now_ms);
  taken = (uint32_t) MIN ((double) count, account->level);
  account->level -= taken;
  return taken;
}
