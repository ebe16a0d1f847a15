#include "adapter/backend-connection.h"

#include <stdio.h>
#include <string.h>

#include <libpq-fe.h>

#include "adapter/pgwire.h"
#include "base/log.h"

/* Columns kept of the last row, and the size of each. */
#define FIELDS_MAX 8
#define FIELD_BYTES 64

typedef enum
{
  PHASE_CONNECTING,
  PHASE_READY,
  PHASE_RUNNING,
  PHASE_PREPARING,
  PHASE_DESCRIBING,
  PHASE_ENDED
} Phase;

struct BackendConnection
{
  BackendOptions options;
  struct tevent_context *context;
  PGconn *pg;
  struct tevent_fd *fde;
  struct tevent_immediate *failed_start; /* reports BACKEND_LOST if the start failed at once */
  int fd;
  Phase phase;
  GByteArray *sink;
  bool describe;
  bool described;
  bool extended;
  bool paused;
  bool failed;
  char sqlstate[6];
  char fields[FIELDS_MAX][FIELD_BYTES];
};

static void
emit (BackendConnection *connection, BackendEventKind kind)
{
  BackendEvent event = { .kind = kind };

  if (kind == BACKEND_LOST || kind == BACKEND_REFUSED)
    {
      connection->phase = PHASE_ENDED;
      TALLOC_FREE (connection->fde);
    }
  connection->options.events (connection->options.data, &event);
}

static char
transaction_status (const BackendConnection *connection)
{
  switch (PQtransactionStatus (connection->pg))
    {
    case PQTRANS_INTRANS:
      return 'T';
    case PQTRANS_INERROR:
      return 'E';
    default:
      return 'I';
    }
}

static void
emit_idle (BackendConnection *connection)
{
  BackendEvent event = { .kind = BACKEND_IDLE, .failed = connection->failed };
  const char *position = PQparameterStatus (connection->pg, "peridotstep.position");

  connection->phase = PHASE_READY;
  event.status = transaction_status (connection);
  memcpy (event.sqlstate, connection->sqlstate, sizeof event.sqlstate);
  if (position != NULL)
    session_token_parse (position, &event.position);
  connection->options.events (connection->options.data, &event);
}

static void
put_row_description (GByteArray *sink, const PGresult *result)
{
  guint mark = pgwire_begin (sink, 'T');
  int count = PQnfields (result);

  pgwire_put_u16 (sink, (uint16_t) count);
  for (int i = 0; i < count; i++)
    {
      pgwire_put_string (sink, PQfname (result, i));
      pgwire_put_u32 (sink, PQftable (result, i));
      pgwire_put_u16 (sink, (uint16_t) PQftablecol (result, i));
      pgwire_put_u32 (sink, PQftype (result, i));
      pgwire_put_u16 (sink, (uint16_t) PQfsize (result, i));
      pgwire_put_u32 (sink, (uint32_t) PQfmod (result, i));
      pgwire_put_u16 (sink, (uint16_t) PQfformat (result, i));
    }
  pgwire_end (sink, mark);
}

static void
put_row (GByteArray *sink, const PGresult *result, int row)
{
  guint mark = pgwire_begin (sink, 'D');
  int count = PQnfields (result);

  pgwire_put_u16 (sink, (uint16_t) count);
  for (int i = 0; i < count; i++)
    {
      if (PQgetisnull (result, row, i))
        {
          pgwire_put_u32 (sink, (uint32_t) -1);
          continue;
        }
      pgwire_put_u32 (sink, (uint32_t) PQgetlength (result, row, i));
      pgwire_put_bytes (sink, PQgetvalue (result, row, i), (uint32_t) PQgetlength (result, row, i));
    }
  pgwire_end (sink, mark);
}

static void
put_parameter_description (GByteArray *sink, const PGresult *result)
{
  guint mark = pgwire_begin (sink, 't');
  int count = PQnparams (result);

  pgwire_put_u16 (sink, (uint16_t) count);
  for (int i = 0; i < count; i++)
    pgwire_put_u32 (sink, PQparamtype (result, i));
  pgwire_end (sink, mark);
}

static void
describe_once (BackendConnection *connection, const PGresult *result)
{
  if (connection->described || !connection->describe)
    return;
  connection->described = true;
  if (PQnfields (result) > 0)
    put_row_description (connection->sink, result);
  else if (connection->extended)
    pgwire_put_empty (connection->sink, 'n');
}

static void
put_backend_error (BackendConnection *connection, const PGresult *result)
{
  static const struct
  {
    char code;
    int field;
  } fields[] = {
    { 'S', PG_DIAG_SEVERITY },           { 'V', PG_DIAG_SEVERITY_NONLOCALIZED },
    { 'C', PG_DIAG_SQLSTATE },           { 'M', PG_DIAG_MESSAGE_PRIMARY },
    { 'D', PG_DIAG_MESSAGE_DETAIL },     { 'H', PG_DIAG_MESSAGE_HINT },
    { 'P', PG_DIAG_STATEMENT_POSITION }, { 's', PG_DIAG_SCHEMA_NAME },
    { 't', PG_DIAG_TABLE_NAME },         { 'c', PG_DIAG_COLUMN_NAME },
    { 'n', PG_DIAG_CONSTRAINT_NAME },
  };
  guint mark = pgwire_begin (connection->sink, 'E');

  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const char *value = PQresultErrorField (result, fields[i].field);

      if (value == NULL)
        continue;
      pgwire_put_u8 (connection->sink, (uint8_t) fields[i].code);
      pgwire_put_string (connection->sink, value);
    }
  pgwire_put_u8 (connection->sink, 0);
  pgwire_end (connection->sink, mark);
}

static void
record_error (BackendConnection *connection, const PGresult *result)
{
  const char *sqlstate = PQresultErrorField (result, PG_DIAG_SQLSTATE);

  connection->failed = true;
  g_strlcpy (connection->sqlstate, sqlstate == NULL ? "XX000" : sqlstate,
             sizeof connection->sqlstate);
  put_backend_error (connection, result);
}

static void
save_fields (BackendConnection *connection, const PGresult *result)
{
  for (int i = 0; i < FIELDS_MAX && i < PQnfields (result); i++)
    g_strlcpy (connection->fields[i], PQgetvalue (result, 0, i), FIELD_BYTES);
}

/* Returns false if the connection can no longer be used. */
static bool
handle_result (BackendConnection *connection, const PGresult *result)
{
  switch (PQresultStatus (result))
    {
    case PGRES_SINGLE_TUPLE:
      describe_once (connection, result);
      save_fields (connection, result);
      put_row (connection->sink, result, 0);
      return true;
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
      if (connection->phase == PHASE_PREPARING)
        return true;
      if (connection->phase == PHASE_DESCRIBING)
        {
          put_parameter_description (connection->sink, result);
          describe_once (connection, result);
          return true;
        }
      describe_once (connection, result);
      pgwire_put_complete (connection->sink, PQcmdStatus ((PGresult *) result));
      return true;
    case PGRES_EMPTY_QUERY:
      pgwire_put_empty (connection->sink, 'I');
      return true;
    case PGRES_FATAL_ERROR:
      if (PQstatus (connection->pg) == CONNECTION_BAD)
        return false;
      record_error (connection, result);
      return true;
    default:
      // COPY is not offered to callers, so the connection is closed.
      return false;
    }
}

static void
update_interest (BackendConnection *connection)
{
  uint16_t flags = connection->paused ? 0 : TEVENT_FD_READ;

  if (PQflush (connection->pg) > 0)
    flags |= TEVENT_FD_WRITE;
  tevent_fd_set_flags (connection->fde, flags);
}

static bool
start_describe_statement (BackendConnection *connection)
{
  connection->phase = PHASE_DESCRIBING;
  return PQsendDescribePrepared (connection->pg, "") == 1;
}

static void
read_results (BackendConnection *connection)
{
  guint before = connection->sink->len;

  while (!PQisBusy (connection->pg))
    {
      PGresult *result = PQgetResult (connection->pg);
      bool usable;

      if (result == NULL)
        {
          if (connection->phase == PHASE_PREPARING && !connection->failed
              && start_describe_statement (connection))
            {
              update_interest (connection);
              return;
            }
          emit_idle (connection);
          return;
        }
      usable = handle_result (connection, result);
      PQclear (result);
      if (!usable)
        {
          emit (connection, BACKEND_LOST);
          return;
        }
    }
  if (PQstatus (connection->pg) == CONNECTION_BAD)
    emit (connection, BACKEND_LOST);
  else if (connection->sink->len > before)
    emit (connection, BACKEND_DATA);
}

static void on_socket (struct tevent_context *context, struct tevent_fd *fde, uint16_t flags,
                       void *data);

static void
watch_socket (BackendConnection *connection, uint16_t flags)
{
  int fd = PQsocket (connection->pg);

  if (connection->fde != NULL && fd == connection->fd)
    {
      tevent_fd_set_flags (connection->fde, flags);
      return;
    }
  TALLOC_FREE (connection->fde);
  connection->fd = fd;
  connection->fde
      = tevent_add_fd (connection->context, connection, fd, flags, on_socket, connection);
}

static bool
refused_by_connection_limit (const BackendConnection *connection)
{
  return strstr (PQerrorMessage (connection->pg), "too many") != NULL;
}

static void
poll_connect (BackendConnection *connection)
{
  switch (PQconnectPoll (connection->pg))
    {
    case PGRES_POLLING_READING:
      watch_socket (connection, TEVENT_FD_READ);
      return;
    case PGRES_POLLING_WRITING:
      watch_socket (connection, TEVENT_FD_WRITE);
      return;
    case PGRES_POLLING_OK:
      PQsetnonblocking (connection->pg, 1);
      connection->phase = PHASE_READY;
      watch_socket (connection, TEVENT_FD_READ);
      emit (connection, BACKEND_CONNECTED);
      return;
    default:
      emit (connection, refused_by_connection_limit (connection) ? BACKEND_REFUSED : BACKEND_LOST);
    }
}

static void
on_socket (struct tevent_context *context, struct tevent_fd *fde, uint16_t flags, void *data)
{
  BackendConnection *connection = data;

  if (connection->phase == PHASE_CONNECTING)
    {
      poll_connect (connection);
      return;
    }
  if ((flags & TEVENT_FD_WRITE) != 0)
    update_interest (connection);
  if ((flags & TEVENT_FD_READ) == 0)
    return;
  if (PQconsumeInput (connection->pg) == 0 || connection->phase == PHASE_READY)
    {
      // While idle, input can only be a notice or the end of the connection.
      if (PQstatus (connection->pg) == CONNECTION_BAD)
        emit (connection, BACKEND_LOST);
      return;
    }
  read_results (connection);
}

static void
on_failed_start (struct tevent_context *context, struct tevent_immediate *immediate, void *data)
{
  emit (data, BACKEND_LOST);
}

static void
log_notice (void *data, const PGresult *result)
{
  log_event (LOG_LEVEL_DEBUG, "backend_notice", "text=\"%s\"", PQresultErrorMessage (result));
}

static int
connection_destroy (BackendConnection *connection)
{
  TALLOC_FREE (connection->fde);
  PQfinish (connection->pg);
  return 0;
}

BackendConnection *
backend_connection_new (TALLOC_CTX *parent, struct tevent_context *context,
                        const BackendOptions *options)
{
  BackendConnection *connection = talloc_zero (parent, BackendConnection);
  char port[8];
  const char *const keys[] = { "hostaddr",         "port",    "dbname",     "user",
                               "application_name", "sslmode", "gssencmode", "tcp_user_timeout",
                               "keepalives_idle",  "options", NULL };
  const char *const values[] = { options->address,
                                 port,
                                 options->database,
                                 options->user,
                                 options->application_name,
                                 "disable",
                                 "disable",
                                 "5000",
                                 "5",
                                 options->session_options,
                                 NULL };

  g_snprintf (port, sizeof port, "%u", options->port);
  connection->options = *options;
  connection->context = context;
  connection->fd = -1;
  connection->pg = PQconnectStartParams (keys, values, 0);
  talloc_set_destructor (connection, connection_destroy);
  if (connection->pg == NULL || PQstatus (connection->pg) == CONNECTION_BAD)
    {
      connection->failed_start = tevent_create_immediate (connection);
      tevent_schedule_immediate (connection->failed_start, context, on_failed_start, connection);
      return connection;
    }
  PQsetNoticeReceiver (connection->pg, log_notice, NULL);
  watch_socket (connection, TEVENT_FD_WRITE);
  return connection;
}

static void
begin_statement (BackendConnection *connection, const BackendStatement *statement, GByteArray *sink)
{
  connection->sink = sink;
  connection->describe = statement->describe;
  connection->extended = statement->extended;
  connection->described = false;
  connection->failed = false;
  memset (connection->fields, 0, sizeof connection->fields);
}

static int
send_extended (BackendConnection *connection, const BackendStatement *statement)
{
  uint32_t count = statement->param_count;
  Oid *types = g_new0 (Oid, count + 1);
  const char **values = g_new0 (const char *, count + 1);
  int *lengths = g_new0 (int, count + 1);
  int *formats = g_new0 (int, count + 1);
  int sent;

  for (uint32_t i = 0; i < count; i++)
    {
      types[i] = statement->params[i].type;
      values[i] = statement->params[i].value;
      lengths[i] = (int) statement->params[i].length;
      formats[i] = (int) statement->params[i].format;
    }
  sent = PQsendQueryParams (connection->pg, statement->sql, (int) count, types, values, lengths,
                            formats, (int) statement->result_format);
  g_free (types);
  g_free (values);
  g_free (lengths);
  g_free (formats);
  return sent;
}

bool
backend_connection_run (BackendConnection *connection, const BackendStatement *statement,
                        GByteArray *sink)
{
  int sent;

  begin_statement (connection, statement, sink);
  if (statement->extended)
    sent = send_extended (connection, statement);
  else
    sent = PQsendQuery (connection->pg, statement->sql);
  if (sent != 1)
    return false;
  PQsetSingleRowMode (connection->pg);
  connection->phase = PHASE_RUNNING;
  update_interest (connection);
  return true;
}

bool
backend_connection_describe (BackendConnection *connection, const BackendStatement *statement,
                             GByteArray *sink)
{
  uint32_t count = statement->param_count;
  Oid *types = g_new0 (Oid, count + 1);
  int sent;

  begin_statement (connection, statement, sink);
  connection->describe = true;
  connection->extended = true;
  for (uint32_t i = 0; i < count; i++)
    types[i] = statement->params[i].type;
  sent = PQsendPrepare (connection->pg, "", statement->sql, (int) count, types);
  g_free (types);
  if (sent != 1)
    return false;
  connection->phase = PHASE_PREPARING;
  update_interest (connection);
  return true;
}

void
backend_connection_pause (BackendConnection *connection, bool paused)
{
  if (connection->paused == paused || connection->phase == PHASE_ENDED)
    return;
  connection->paused = paused;
  update_interest (connection);
  // Results already buffered by libpq do not make the socket readable again.
  if (!paused && connection->phase == PHASE_RUNNING)
    read_results (connection);
}

/* PQcancel() blocks, so it runs in a thread pool. */
static void
cancel_in_thread (gpointer cancel, gpointer data)
{
  char message[256];

  if (PQcancel (cancel, message, sizeof message) == 0)
    log_event (LOG_LEVEL_NOTICE, "cancel_failed", "reason=\"%s\"", message);
  PQfreeCancel (cancel);
}

static gpointer
make_cancel_pool (gpointer data)
{
  return g_thread_pool_new (cancel_in_thread, NULL, 4, false, NULL);
}

void
backend_connection_cancel (BackendConnection *connection)
{
  static GOnce once = G_ONCE_INIT;
  PGcancel *cancel = PQgetCancel (connection->pg);

  if (cancel == NULL)
    return;
  g_once (&once, make_cancel_pool, NULL);
  g_thread_pool_push (once.retval, cancel, NULL);
}

const char *
backend_connection_parameter (const BackendConnection *connection, const char *name)
{
  return PQparameterStatus (connection->pg, name);
}

const char *
backend_connection_field (const BackendConnection *connection, int column)
{
  return column < FIELDS_MAX ? connection->fields[column] : "";
}
