#include "pipeline/caller-state.h"

#include <string.h>

#include "base/sql-text.h"

/* Whether another Execute follows in the same batch, among the messages received so far. */
static bool
batch_has_another_execute (Caller *caller)
{
  const GByteArray *input = stream_input (caller->stream);
  size_t offset = 0;
  PgwireMessage message;

  while (pgwire_read_message (input->data + offset, input->len - offset, &message)
         == PGWIRE_MESSAGE)
    {
      if (message.type == 'E')
        return true;
      if (message.type == 'S')
        return false;
      offset += message.size_bytes;
    }
  return false;
}

static void
run_portal (Caller *caller, const Portal *portal, bool describe)
{
  RequestOptions options = {
    .extended = true,
    .describe = describe,
    .param_count = portal->param_count,
    .params = portal->params,
    .type_count = portal->statement.type_count,
    .types = portal->statement.types,
    .result_format = portal->result_format,
  };

  if (caller_refuse_early (caller, portal->statement.sql, true))
    return;
  if (portal->mixed_formats)
    {
      caller_refuse_statement (caller, true, "0A000",
                               "result formats must be all text or all binary");
      return;
    }
  if (describe && sql_text_verb (portal->statement.sql) != SQL_VERB_OTHER
      && sql_text_verb (portal->statement.sql) != SQL_VERB_SHOW)
    pgwire_put_empty (caller_output (caller), 'n');
  if (caller_run_locally (caller, portal->statement.sql, true))
    return;
  if (caller->session.transaction == TRANSACTION_NONE && batch_has_another_execute (caller))
    {
      caller_refuse_statement (
          caller, true, "0A000",
          "multiple statements in one extended query batch require a transaction block");
      return;
    }
  caller_send_request (caller, portal->statement.sql, &options, false);
}

static void
handle_execute (Caller *caller, PgwireCursor *cursor)
{
  const char *name = pgwire_get_string (cursor);
  uint32_t max_rows = pgwire_get_u32 (cursor);
  const Portal *portal = prepared_store_portal (caller->prepared, name);
  bool describe = caller->describe_pending;

  caller->describe_pending = false;
  if (cursor->failed)
    caller_end_malformed (caller, "malformed Execute message");
  else if (portal == NULL)
    caller_refuse_statement (caller, true, "34000", "portal does not exist");
  else if (max_rows != 0)
    caller_refuse_statement (caller, true, "0A000",
                             "a row limit in Execute (partial fetch of a portal) is not supported");
  else
    run_portal (caller, portal, describe);
}

static bool
is_described_locally (const char *sql)
{
  return sql_text_verb (sql) != SQL_VERB_OTHER && sql_text_verb (sql) != SQL_VERB_SHOW;
}

static void
put_empty_parameter_description (Caller *caller)
{
  guint mark = pgwire_begin (caller_output (caller), 't');

  pgwire_put_u16 (caller_output (caller), 0);
  pgwire_end (caller_output (caller), mark);
}

static void
describe_at_backend (Caller *caller, const PreparedStatement *statement, bool portal)
{
  RequestOptions options = {
    .operation = PERIDOTSTEP__OPERATION__DESCRIBE,
    .extended = true,
    .type_count = statement->type_count,
    .types = statement->types,
  };

  if (caller_refuse_early (caller, statement->sql, true))
    return;
  caller_send_request (caller, statement->sql, &options, portal);
}

static void
describe_statement (Caller *caller, const char *name)
{
  const PreparedStatement *statement = prepared_store_statement (caller->prepared, name);

  if (statement == NULL)
    {
      caller_refuse_statement (caller, true, "26000", "prepared statement does not exist");
      return;
    }
  if (!is_described_locally (statement->sql))
    {
      describe_at_backend (caller, statement, false);
      return;
    }
  put_empty_parameter_description (caller);
  pgwire_put_empty (caller_output (caller), 'n');
}

/* Defers the description to the portal's Execute, which usually follows immediately. */
static void
defer_portal_description (Caller *caller, const char *name)
{
  if (prepared_store_portal (caller->prepared, name) == NULL)
    {
      caller_refuse_statement (caller, true, "34000", "portal does not exist");
      return;
    }
  caller->describe_pending = true;
  g_strlcpy (caller->describe_portal, name, sizeof caller->describe_portal);
}

static void
handle_describe (Caller *caller, PgwireCursor *cursor)
{
  char kind = (char) pgwire_get_u8 (cursor);
  const char *name = pgwire_get_string (cursor);

  if (cursor->failed || (kind != 'S' && kind != 'P'))
    caller_end_malformed (caller, "malformed Describe message");
  else if (kind == 'S')
    describe_statement (caller, name);
  else
    defer_portal_description (caller, name);
}

bool
caller_extended_flush_describe (Caller *caller, const PgwireMessage *next)
{
  PgwireCursor cursor = pgwire_cursor (next);
  const Portal *portal;

  if (!caller->describe_pending)
    return false;
  if (next->type == 'E' && strcmp (pgwire_get_string (&cursor), caller->describe_portal) == 0)
    return false;
  caller->describe_pending = false;
  portal = prepared_store_portal (caller->prepared, caller->describe_portal);
  if (portal == NULL || is_described_locally (portal->statement.sql))
    {
      pgwire_put_empty (caller_output (caller), 'n');
      return false;
    }
  describe_at_backend (caller, &portal->statement, true);
  return true;
}

typedef const char *(*PreparedHandler) (PreparedStore *store, PgwireCursor *cursor,
                                        bool *malformed);

static void
handle_prepared (Caller *caller, PgwireCursor *cursor, PreparedHandler handler, char complete)
{
  bool malformed = false;
  const char *message = handler (caller->prepared, cursor, &malformed);

  if (malformed)
    caller_end_malformed (caller, message);
  else if (message != NULL)
    caller_refuse_statement (caller, true, complete == '1' ? "42P05" : "26000", message);
  else
    pgwire_put_empty (caller_output (caller), complete);
}

static void
handle_close (Caller *caller, PgwireCursor *cursor)
{
  char kind = (char) pgwire_get_u8 (cursor);
  const char *name = pgwire_get_string (cursor);

  if (cursor->failed)
    {
      caller_end_malformed (caller, "malformed Close message");
      return;
    }
  prepared_store_close (caller->prepared, kind, name);
  pgwire_put_empty (caller_output (caller), '3');
}

bool
caller_extended_message (Caller *caller, const PgwireMessage *message)
{
  PgwireCursor cursor = pgwire_cursor (message);

  switch (message->type)
    {
    case 'P':
      handle_prepared (caller, &cursor, prepared_store_parse, '1');
      return true;
    case 'B':
      handle_prepared (caller, &cursor, prepared_store_bind, '2');
      return true;
    case 'D':
      handle_describe (caller, &cursor);
      return true;
    case 'E':
      handle_execute (caller, &cursor);
      return true;
    case 'C':
      handle_close (caller, &cursor);
      return true;
    default:
      return false;
    }
}
