#include "pool/statement.h"

#include <string.h>

#include <glib.h>

const char *
statement_kind_name (StatementKind kind)
{
  static const char *const names[STATEMENT_KIND_COUNT] = {
    [STATEMENT_BEGIN] = "begin",           [STATEMENT_COMMIT] = "commit",
    [STATEMENT_ROLLBACK] = "rollback",     [STATEMENT_READ] = "read",
    [STATEMENT_WRITE] = "write",           [STATEMENT_SET_VALUE] = "set_value",
    [STATEMENT_PREPARE] = "prepare",       [STATEMENT_EXECUTE] = "execute",
    [STATEMENT_DEALLOCATE] = "deallocate", [STATEMENT_MALFORMED] = "malformed",
  };

  return names[kind];
}

void
statement_done (Statement *statement)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statement->storage); i++)
    g_free (statement->storage[i]);
  memset (statement, 0, sizeof *statement);
}
