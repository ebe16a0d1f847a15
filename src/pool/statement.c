#include "pool/statement.h"

#include <string.h>

#include <glib.h>

void
statement_done (Statement *statement)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statement->storage); i++)
    g_free (statement->storage[i]);
  memset (statement, 0, sizeof *statement);
}
