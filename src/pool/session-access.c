#include <string.h>

#include "base/clock.h"
#include "pool/session-state.h"

SessionAccess
session_check_access (PoolSession *session, const Database *database)
{
  const Catalog *catalog = pool_server_catalog (session->server);
  const Customer *customer;

  *session->customer = '\0';
  if (database == NULL)
    return SESSION_NO_DATABASE;
  if (catalog->customers == NULL)
    return SESSION_ALLOWED;
  customer = catalog_customer (catalog, session->key);
  if (customer != NULL)
    g_strlcpy (session->customer, customer->name, sizeof session->customer);
  else if (!database->anonymous)
    return SESSION_NO_KEY;
  return session_may_send (session) ? SESSION_ALLOWED : SESSION_OUT_OF_DATE;
}

bool
session_may_send (const PoolSession *session)
{
  return *session->customer == '\0' || pool_server_config_is_current (session->server);
}

const char *
session_customer (const PoolSession *session)
{
  return session->customer;
}
