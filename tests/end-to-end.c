#include "end-to-end.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <libpq-fe.h>

#include "base/log.h"
#include "base/verdict.h"
#include "config/config-store.h"
#include "daemon/daemon.h"
#include "standin/standin.h"

#define HOSTS 3
#define WAIT_STEPS 400
#define WAIT_STEP_US 50000
#define MALFORMED_ROUNDS 300
#define SEED 20261204
#define BIG_ROWS 20000
#define ROW_BYTES 1000

static Standin *standin;
static Daemon *hosts[HOSTS];

static void
start_hosts (void)
{
  const Deployment *deployment = deployment_find ("shops");
  const StandinOptions options
      = { .deployment = deployment, .address = "127.0.0.1", .service_us = 200 };
  PlatformClient *client;
  json_t *patch;

  log_set_level (LOG_LEVEL_ERROR);
  signal (SIGPIPE, SIG_IGN);
  standin = standin_start (&options, NULL);
  ck_assert_ptr_nonnull (standin);
  client = platform_client_new (standin_platform_url (standin), 5000);
  patch = standin_config (standin);
  ck_assert_uint_eq (
      config_store_apply (
          client, &(ConfigChange){ .id = "first", .author = "t", .reason = "t", .patch = patch },
          NULL),
      1);
  json_decref (patch);
  platform_client_free (client);
  for (int i = 0; i < HOSTS; i++)
    {
      DaemonOptions daemon = { .platform_url = standin_platform_url (standin), .workers = 2 };

      g_snprintf (daemon.self.id, NAME_BYTES, "t%d", i);
      g_strlcpy (daemon.self.failure_domain, deployment->domains[i], NAME_BYTES);
      g_strlcpy (daemon.self.region, deployment->regions[i], NAME_BYTES);
      g_strlcpy (daemon.self.address, "127.0.0.1", NAME_BYTES);
      hosts[i] = daemon_start (&daemon, NULL);
      ck_assert_ptr_nonnull (hosts[i]);
    }
  for (int step = 0; step < WAIT_STEPS; step++)
    {
      guint ready = 0;

      for (int i = 0; i < HOSTS; i++)
        ready += counter_get (daemon_counters (hosts[i]), COUNTER_MEMBERS_ALIVE) == HOSTS
                 && daemon_config_version (hosts[i]) == 1;
      if (ready == HOSTS)
        return;
      g_usleep (WAIT_STEP_US);
    }
  ck_abort_msg ("the hosts did not discover each other");
}

static void
stop_hosts (void)
{
  for (int i = 0; i < HOSTS; i++)
    daemon_stop (hosts[i]);
  standin_stop (standin);
}

static PGconn *
connect_host (int host, const char *options)
{
  char text[256];
  PGconn *connection;

  g_snprintf (text, sizeof text,
              "hostaddr=127.0.0.1 port=%u dbname=ordering1 user=shop sslmode=disable "
              "gssencmode=disable options='%s'",
              daemon_options (hosts[host])->caller_port, options);
  connection = PQconnectdb (text);
  ck_assert_msg (PQstatus (connection) == CONNECTION_OK, "%s", PQerrorMessage (connection));
  return connection;
}

/* Runs @sql; returns the first value, the command tag, or the SQLSTATE of the error. */
static const char *
run_sql (PGconn *connection, const char *sql)
{
  static char value[128];
  PGresult *result = PQexec (connection, sql);

  switch (PQresultStatus (result))
    {
    case PGRES_TUPLES_OK:
      g_strlcpy (value, PQntuples (result) > 0 ? PQgetvalue (result, 0, 0) : "", sizeof value);
      break;
    case PGRES_FATAL_ERROR:
      g_strlcpy (value, PQresultErrorField (result, PG_DIAG_SQLSTATE), sizeof value);
      break;
    default:
      g_strlcpy (value, PQcmdStatus (result), sizeof value);
    }
  PQclear (result);
  return value;
}

#define CK_SQL(connection, sql, expected) ck_assert_str_eq (run_sql (connection, sql), expected)

START_TEST (test_statements)
{
  PGconn *connection = connect_host (0, "");

  CK_SQL (connection, "create table s (id integer primary key, name text)", "CREATE TABLE");
  CK_SQL (connection, "insert into s values (1, 'a')", "INSERT 0 1");
  CK_SQL (connection, "/*class='stock_page'*/ select count(*) from s", "1");
  CK_SQL (connection, "insert into s values (1, 'b')", "23505");
  CK_SQL (connection, "select * from nope", "42P01");
  CK_SQL (connection, "/*class='nope'*/ select 1", "22023");
  CK_SQL (connection, "/*class='stock_page'*/ insert into s values (2, 'c')", "25006");
  CK_SQL (connection, "select 1; select 2", "0A000");
  CK_SQL (connection, "copy s from stdin", "0A000");
  CK_SQL (connection, "listen x", "0A000");
  CK_SQL (connection, "set search_path to x", "0A000");
  CK_SQL (connection, "set timezone to 'UTC'", "SET");
  CK_SQL (connection, "set peridotstep.class = 'stock_page'", "SET");
  CK_SQL (connection, "show peridotstep.class", "stock_page");
  CK_SQL (connection, "set peridotstep.class = 'nope'", "22023");
  CK_SQL (connection, "set peridotstep.session = 'nope'", "22023");
  CK_SQL (connection, "", "");
  CK_SQL (connection, "discard all", "DISCARD ALL");
  CK_SQL (connection, "select count(*) from s", "1");
  PQfinish (connection);
}
END_TEST

START_TEST (test_transactions)
{
  PGconn *one = connect_host (0, "");
  PGconn *two = connect_host (1, "");

  CK_SQL (one, "create table x (id integer)", "CREATE TABLE");
  CK_SQL (one, "begin", "BEGIN");
  CK_SQL (one, "insert into x values (1)", "INSERT 0 1");
  CK_SQL (one, "select count(*) from x", "1");
  CK_SQL (one, "rollback", "ROLLBACK");
  CK_SQL (two, "select count(*) from x", "0");
  CK_SQL (one, "begin", "BEGIN");
  CK_SQL (one, "insert into x values (2)", "INSERT 0 1");
  CK_SQL (one, "select * from nope", "42P01");
  CK_SQL (one, "insert into x values (3)", "25P02");
  CK_SQL (one, "commit", "ROLLBACK");
  CK_SQL (two, "select count(*) from x", "0");
  CK_SQL (one, "begin", "BEGIN");
  CK_SQL (one, "insert into x values (4)", "INSERT 0 1");
  CK_SQL (one, "commit", "COMMIT");
  // Acknowledged writes are visible in another session on another host, without a session token.
  CK_SQL (two, "/*class='stock_page'*/ select count(*) from x", "1");
  // A transaction whose caller disconnects has no effect.
  CK_SQL (one, "begin", "BEGIN");
  CK_SQL (one, "insert into x values (5)", "INSERT 0 1");
  PQfinish (one);
  CK_SQL (two, "insert into x values (6)", "INSERT 0 1");
  CK_SQL (two, "select count(*) from x", "2");
  PQfinish (two);
}
END_TEST

START_TEST (test_session_moves_between_hosts)
{
  PGconn *first = connect_host (0, "");
  char options[96];

  CK_SQL (first, "create table r (id integer)", "CREATE TABLE");
  for (int i = 0; i < 20; i++)
    {
      PGconn *second;
      char expected[16];

      CK_SQL (first, "insert into r values (1)", "INSERT 0 1");
      g_snprintf (options, sizeof options, "-c peridotstep.session=%s",
                  PQparameterStatus (first, "peridotstep.session"));
      g_snprintf (expected, sizeof expected, "%d", i + 1);
      second = connect_host (1 + i % 2, i % 4 < 2 ? options : "");
      CK_SQL (second, "/*class='report'*/ select count(*) from r", expected);
      PQfinish (second);
    }
  PQfinish (first);
}
END_TEST

START_TEST (test_extended_protocol)
{
  PGconn *connection = connect_host (2, "");
  const char *values[] = { "7", "seven" };
  PGresult *result;

  CK_SQL (connection, "create table e (id integer, name text)", "CREATE TABLE");
  result
      = PQexecParams (connection, "insert into e values ($1, $2)", 2, NULL, values, NULL, NULL, 0);
  ck_assert_str_eq (PQcmdStatus (result), "INSERT 0 1");
  PQclear (result);
  result = PQprepare (connection, "find", "select name from e where id = $1", 1, NULL);
  ck_assert_int_eq (PQresultStatus (result), PGRES_COMMAND_OK);
  PQclear (result);
  result = PQdescribePrepared (connection, "find");
  ck_assert_int_eq (PQnparams (result), 1);
  ck_assert_str_eq (PQfname (result, 0), "name");
  PQclear (result);
  for (int i = 0; i < 3; i++)
    {
      result = PQexecPrepared (connection, "find", 1, values, NULL, NULL, 0);
      ck_assert_str_eq (PQgetvalue (result, 0, 0), "seven");
      PQclear (result);
    }
  result = PQexecPrepared (connection, "missing", 1, values, NULL, NULL, 0);
  ck_assert_str_eq (PQresultErrorField (result, PG_DIAG_SQLSTATE), "26000");
  PQclear (result);
  result = PQexecParams (connection, "begin", 0, NULL, NULL, NULL, NULL, 0);
  ck_assert_str_eq (PQcmdStatus (result), "BEGIN");
  PQclear (result);
  result = PQexecParams (connection, "commit", 0, NULL, NULL, NULL, NULL, 0);
  ck_assert_str_eq (PQcmdStatus (result), "COMMIT");
  PQclear (result);
  PQfinish (connection);
}
END_TEST

START_TEST (test_cancel)
{
  PGconn *connection = connect_host (0, "");
  PGcancel *cancel = PQgetCancel (connection);
  char message[256];
  PGresult *result;

  ck_assert_int_eq (PQsendQuery (connection, "select pg_sleep(30)"), 1);
  g_usleep (300000);
  ck_assert_int_eq (PQcancel (cancel, message, sizeof message), 1);
  result = PQgetResult (connection);
  ck_assert_str_eq (PQresultErrorField (result, PG_DIAG_SQLSTATE), "57014");
  PQclear (result);
  ck_assert_ptr_null (PQgetResult (connection));
  CK_SQL (connection, "select 1", "1");
  PQfreeCancel (cancel);
  PQfinish (connection);
}
END_TEST

START_TEST (test_large_result)
{
  PGconn *connection = connect_host (1, "");
  PGresult *result;
  int rows = 0;

  ck_assert_int_eq (
      PQsendQuery (
          connection,
          "with recursive n(i) as (select 1 union all select i + 1 from n where i < 20000) "
          "select i, printf('%01000d', i) from n"),
      1);
  PQsetSingleRowMode (connection);
  while ((result = PQgetResult (connection)) != NULL)
    {
      if (PQresultStatus (result) == PGRES_SINGLE_TUPLE)
        {
          rows++;
          ck_assert_int_eq (atoi (PQgetvalue (result, 0, 0)), rows);
          ck_assert_int_eq (PQgetlength (result, 0, 1), ROW_BYTES);
        }
      PQclear (result);
    }
  ck_assert_int_eq (rows, BIG_ROWS);
  CK_SQL (connection, "select 1", "1");
  PQfinish (connection);
}
END_TEST

static int
raw_connect (int host)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (daemon_options (hosts[host])->caller_port),
                                 .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

/* Sends fragments of random size, up to 63 bytes; stops when the host closes the connection. */
static void
send_fragments (GRand *random, int fd, const guint8 *bytes, gsize length)
{
  while (length > 0)
    {
      gsize drawn = (gsize) g_rand_int_range (random, 1, 64);
      gsize part = MIN (length, drawn);

      if (send (fd, bytes, part, MSG_NOSIGNAL) <= 0)
        return;
      bytes += part;
      length -= part;
    }
}

/*
 * Sends a startup and a statement in each protocol in fragments of random size, cut at a random
 * length and in most rounds with random bytes changed. The host must survive this and keep serving
 * other connections.
 */
START_TEST (test_malformed_input)
{
  static const guint8 valid[]
      = "\0\0\0\x22\0\x03\0\0user\0u\0database\0ordering1\0\0"
        "Q\0\0\0\x0dselect 1\0"
        "P\0\0\0\x10\0select 1\0\0\0B\0\0\0\x0c\0\0\0\0\0\0\0\0E\0\0\0\x09\0\0\0\0\0S\0\0\0\x04";
  GRand *random = g_rand_new_with_seed (SEED);
  PGconn *other = connect_host (0, "");

  for (int round = 0; round < MALFORMED_ROUNDS; round++)
    {
      guint8 bytes[sizeof valid];
      int fd = raw_connect (0);
      gsize length = (gsize) g_rand_int_range (random, 1, sizeof valid);

      memcpy (bytes, valid, sizeof valid);
      for (int i = 0; i < 3 && round % 3 != 0; i++)
        bytes[g_rand_int_range (random, 0, sizeof valid)] = (guint8) g_rand_int (random);
      send_fragments (random, fd, bytes, length);
      close (fd);
      if (round % 50 == 0)
        CK_SQL (other, "select 1", "1");
    }
  CK_SQL (other, "select 1", "1");
  PQfinish (other);
  g_rand_free (random);
}
END_TEST

START_TEST (test_config_in_force)
{
  PlatformClient *client = platform_client_new (standin_platform_url (standin), 5000);
  GError *error = NULL;
  json_t *patch = json_loads ("{\"services\":{\"ordering1\":{\"slots\":6}}}", 0, NULL);
  json_t *invalid = json_loads ("{\"services\":{\"ordering1\":{\"slots\":0}}}", 0, NULL);
  ConfigChange change
      = { .base = 1, .id = "c1", .author = "ann", .reason = "more slots", .patch = patch };
  int step;

  ck_assert_uint_eq (config_store_apply (client, &change, NULL), 2);
  // A repeated change id returns the same version; a conflicting change to an old base is refused.
  ck_assert_uint_eq (config_store_apply (client, &change, NULL), 2);
  change.id = "c2";
  ck_assert_uint_eq (config_store_apply (client, &change, &error), 0);
  ck_assert_int_eq (error->code, PERIDOTSTEP_ERROR_CONFLICT);
  ck_assert_ptr_nonnull (strstr (error->message, "/services/ordering1/slots"));
  g_clear_error (&error);
  change.base = 2;
  change.patch = invalid;
  ck_assert_uint_eq (config_store_apply (client, &change, &error), 0);
  ck_assert_int_eq (error->code, PERIDOTSTEP_ERROR_CONFIG);
  g_clear_error (&error);
  for (step = 0; step < WAIT_STEPS; step++)
    {
      guint in_force = 0;

      for (int i = 0; i < HOSTS; i++)
        in_force += daemon_config_version (hosts[i]) == 2;
      if (in_force == HOSTS)
        break;
      g_usleep (WAIT_STEP_US);
    }
  ck_assert_int_lt (step, WAIT_STEPS);
  json_decref (patch);
  json_decref (invalid);
  platform_client_free (client);
}
END_TEST

START_TEST (test_graceful_shutdown)
{
  PGconn *busy = connect_host (2, "");
  int step;

  // Must be the last test, as it stops the host. An open transaction is finished first.
  CK_SQL (busy, "create table g (id integer)", "CREATE TABLE");
  CK_SQL (busy, "begin", "BEGIN");
  CK_SQL (busy, "insert into g values (1)", "INSERT 0 1");
  daemon_drain (hosts[2]);
  g_usleep (2500000);
  ck_assert (!daemon_is_drained (hosts[2]));
  CK_SQL (busy, "insert into g values (2)", "INSERT 0 1");
  CK_SQL (busy, "commit", "COMMIT");
  for (step = 0; step < WAIT_STEPS && !daemon_is_drained (hosts[2]); step++)
    g_usleep (WAIT_STEP_US);
  ck_assert (daemon_is_drained (hosts[2]));
  PQclear (PQexec (busy, "select 1"));
  ck_assert_int_eq (PQstatus (busy), CONNECTION_BAD);
  PQfinish (busy);
  busy = connect_host (0, "");
  CK_SQL (busy, "select count(*) from g", "2");
  PQfinish (busy);
}
END_TEST

TCase *
end_to_end_case (void)
{
  TCase *tcase = tcase_create ("end-to-end");

  tcase_set_timeout (tcase, 600);
  tcase_add_unchecked_fixture (tcase, start_hosts, stop_hosts);
  tcase_add_test (tcase, test_statements);
  tcase_add_test (tcase, test_transactions);
  tcase_add_test (tcase, test_session_moves_between_hosts);
  tcase_add_test (tcase, test_extended_protocol);
  tcase_add_test (tcase, test_cancel);
  tcase_add_test (tcase, test_large_result);
  tcase_add_test (tcase, test_malformed_input);
  tcase_add_test (tcase, test_config_in_force);
  tcase_add_test (tcase, test_graceful_shutdown);
  return tcase;
}
