#include "fuzz.h"

#include <string.h>

#include "adapter/pgwire.h"
#include "base/sql-text.h"
#include "link/frame.h"
#include "pipeline/prepared.h"
#include "platform/line-codec.h"
#include "pool/snapshot.h"

#define ROUNDS 20000
#define SEED 20261204

/* Valid messages to mutate. */
static GByteArray *
make_messages (void)
{
  GByteArray *out = g_byte_array_new ();
  guint mark = pgwire_begin (out, 'P');

  pgwire_put_string (out, "s1");
  pgwire_put_string (out, "SELECT $1");
  pgwire_put_u16 (out, 1);
  pgwire_put_u32 (out, 25);
  pgwire_end (out, mark);
  mark = pgwire_begin (out, 'B');
  pgwire_put_string (out, "");
  pgwire_put_string (out, "s1");
  pgwire_put_u16 (out, 1);
  pgwire_put_u16 (out, 0);
  pgwire_put_u16 (out, 1);
  pgwire_put_u32 (out, 3);
  pgwire_put_bytes (out, "abc", 3);
  pgwire_put_u16 (out, 1);
  pgwire_put_u16 (out, 0);
  pgwire_end (out, mark);
  pgwire_put_error (out, "ERROR", "57P03", "message", "not run");
  return out;
}

static void
mutate (GRand *random, GByteArray *bytes)
{
  int changes = g_rand_int_range (random, 1, 6);

  for (int i = 0; i < changes && bytes->len > 0; i++)
    {
      guint at = (guint) g_rand_int_range (random, 0, (gint32) bytes->len);

      switch (g_rand_int_range (random, 0, 3))
        {
        case 0:
          bytes->data[at] = (guint8) g_rand_int (random);
          break;
        case 1:
          g_byte_array_set_size (bytes, at);
          break;
        default:
          bytes->data[at] ^= (guint8) (1u << g_rand_int_range (random, 0, 8));
        }
    }
}

static void
read_messages (const GByteArray *bytes)
{
  PreparedStore *store = prepared_store_new ();
  PgwireMessage message;
  size_t at = 0;

  while (pgwire_read_message (bytes->data + at, bytes->len - at, &message) == PGWIRE_MESSAGE)
    {
      // An exact copy of the body lets the address sanitizer detect any read past its end.
      uint8_t *body = g_memdup2 (message.body, message.length);
      PgwireMessage copy = { message.type, body, message.length, message.size_bytes };
      PgwireCursor cursor = pgwire_cursor (&copy);
      bool malformed = false;

      ck_assert_uint_le (at + message.size_bytes, bytes->len);
      if (message.type == 'P')
        prepared_store_parse (store, &cursor, &malformed);
      else if (message.type == 'B')
        prepared_store_bind (store, &cursor, &malformed);
      g_free (body);
      at += message.size_bytes;
    }
  pgwire_error_field (bytes, 'D');
  prepared_store_free (store);
}

START_TEST (test_caller_messages)
{
  GRand *random = g_rand_new_with_seed (SEED);
  GByteArray *valid = make_messages ();

  for (int round = 0; round < ROUNDS; round++)
    {
      GByteArray *bytes = g_byte_array_new ();

      g_byte_array_append (bytes, valid->data, valid->len);
      mutate (random, bytes);
      read_messages (bytes);
      g_byte_array_free (bytes, TRUE);
    }
  g_byte_array_free (valid, TRUE);
  g_rand_free (random);
}
END_TEST

START_TEST (test_frames)
{
  GRand *random = g_rand_new_with_seed (SEED);
  Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_EXECUTE);
  GBytes *packed;

  frame->execute->service = strdup ("ordering1");
  frame->execute->sql = strdup ("SELECT 1");
  packed = frame_pack (frame);
  frame_free (frame);
  for (int round = 0; round < ROUNDS; round++)
    {
      GByteArray *bytes = g_byte_array_new ();
      Frame *read = NULL;
      size_t used = 0;
      GossipMessage gossip;

      g_byte_array_append (bytes, g_bytes_get_data (packed, NULL),
                           (guint) g_bytes_get_size (packed));
      mutate (random, bytes);
      if (frame_read (bytes->data, bytes->len, &read, &used) == FRAME_COMPLETE)
        ck_assert_uint_le (used, bytes->len);
      frame_free (read);
      gossip_unpack (bytes->data, bytes->len, &gossip);
      g_byte_array_free (bytes, TRUE);
    }
  g_bytes_unref (packed);
  g_rand_free (random);
}
END_TEST

START_TEST (test_sql_text)
{
  static const char seed_text[]
      = "/*class='x',t='y'*/ -- z\n SET SESSION a.b TO 'c'; $q$;$q$ /* /* */ \"d\"\"\" 'e''";
  GRand *random = g_rand_new_with_seed (SEED);
  char name[8], value[8];

  for (int round = 0; round < ROUNDS; round++)
    {
      GByteArray *bytes = g_byte_array_new ();

      g_byte_array_append (bytes, (const guint8 *) seed_text, sizeof seed_text - 1);
      mutate (random, bytes);
      g_byte_array_append (bytes, (const guint8 *) "", 1);
      sql_text_verb ((char *) bytes->data);
      sql_text_is_single ((char *) bytes->data);
      sql_text_tag ((char *) bytes->data, "class", value, sizeof value);
      sql_text_assignment ((char *) bytes->data, name, sizeof name, value, sizeof value);
      ck_assert_uint_lt (strlen (value), sizeof value);
      g_byte_array_free (bytes, TRUE);
    }
  g_rand_free (random);
}
END_TEST

/* A statement that is forwarded to an instance must be exactly one line, whatever the caller
 * sent. */
static void
check_forwarded (const CallerMessage *message)
{
  GByteArray *out = g_byte_array_new ();
  const Statement *statement = &message->statement;

  platform_line_codec.write_statement (out, statement->id, NULL, statement->text);
  ck_assert_ptr_eq (memchr (out->data, '\n', out->len), out->data + out->len - 1);
  ck_assert_ptr_eq (memchr (out->data, '\r', out->len), out->data + out->len - 2);
  ck_assert_ptr_null (memchr (out->data, '\0', out->len));
  if (statement->kind != STATEMENT_MALFORMED)
    ck_assert_str_ne (statement->id, "-");
  g_byte_array_free (out, TRUE);
}

static void
read_caller_lines (const GByteArray *bytes)
{
  size_t at = 0;
  size_t used;

  do
    {
      // An exact copy of the rest lets the address sanitizer detect any read past its end.
      guint8 *rest = g_memdup2 (bytes->data + at, bytes->len - at);
      CallerMessage message;

      used = platform_line_codec.read_caller (rest, bytes->len - at, &message);
      ck_assert_uint_le (used, bytes->len - at);
      if (message.kind == CALLER_MESSAGE_STATEMENT)
        check_forwarded (&message);
      g_free (message.database);
      statement_done (&message.statement);
      g_free (rest);
      at += used;
    }
  while (used > 0 && at < bytes->len);
}

static void
read_reply_lines (const GByteArray *bytes)
{
  size_t at = 0;
  size_t used;

  do
    {
      guint8 *rest = g_memdup2 (bytes->data + at, bytes->len - at);
      InstanceReport report;
      Reply reply;

      used = platform_line_codec.read_reply (rest, bytes->len - at, &reply);
      ck_assert_uint_le (used, bytes->len - at);
      if (reply.kind == REPLY_ROW)
        platform_line_codec.read_report (reply.text, &report);
      reply_done (&reply);
      g_free (rest);
      at += used;
    }
  while (used > 0 && at < bytes->len);
}

START_TEST (test_lines)
{
  static const char caller_lines[]
      = "START shop u1\r\nQUERY a1 BEGIN READ\r\nQUERY a2 PREPARE s READ q\r\n"
        "QUERY a3 EXECUTE s 1a4 data\r\nQUERY a4 SET n v\r\nQUERY a5 WRITE 1 x\r\nTERMINATE\r\n";
  static const char reply_lines[]
      = "READY I 3.1207\r\nDATAROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE 7.1f3\r\n"
        "ERROR LAGGING i-7f\r\nREADY T -\r\n";
  GRand *random = g_rand_new_with_seed (SEED);

  for (int round = 0; round < ROUNDS; round++)
    {
      GByteArray *callers = g_byte_array_new ();
      GByteArray *replies = g_byte_array_new ();

      g_byte_array_append (callers, (const guint8 *) caller_lines, sizeof caller_lines - 1);
      g_byte_array_append (replies, (const guint8 *) reply_lines, sizeof reply_lines - 1);
      mutate (random, callers);
      mutate (random, replies);
      read_caller_lines (callers);
      read_reply_lines (replies);
      g_byte_array_free (callers, TRUE);
      g_byte_array_free (replies, TRUE);
    }
  g_rand_free (random);
}
END_TEST

static GByteArray *
make_snapshot (void)
{
  const ServiceEntry service = { (char *) "ledger", 30, 1 };
  const Database database
      = { .name = (char *) "sales", .service = (char *) "ledger", .priority = PRIORITY_URGENT };
  const InstanceInfo info
      = { "i-1", "ledger", "10.0.0.1", 5000, "north-1", 1700000000000, 5, false, true };
  const HostEntry host = { .address = "10.0.0.2", .port = 7440, .failure_domain = "north-1" };
  Snapshot snapshot = { .catalog = catalog_new (3), .fresh = true };
  GByteArray *bytes = g_byte_array_new ();

  catalog_add_service (snapshot.catalog, &service);
  catalog_add_database (snapshot.catalog, &database);
  snapshot.infos = g_array_new (false, true, sizeof (InstanceInfo));
  g_array_append_val (snapshot.infos, info);
  snapshot.hosts = g_array_new (false, true, sizeof (HostEntry));
  g_array_append_val (snapshot.hosts, host);
  snapshot_append (&snapshot, bytes);
  snapshot_done (&snapshot);
  return bytes;
}

START_TEST (test_snapshots)
{
  GRand *random = g_rand_new_with_seed (SEED);
  GByteArray *valid = make_snapshot ();
  int complete = 0;

  for (int round = 0; round < ROUNDS; round++)
    {
      GByteArray *bytes = g_byte_array_new ();
      Snapshot snapshot;

      g_byte_array_append (bytes, valid->data, valid->len);
      mutate (random, bytes);
      complete += snapshot_read (bytes->data, bytes->len, &snapshot) == SNAPSHOT_COMPLETE;
      // Whatever was decoded can be encoded again.
      g_byte_array_set_size (bytes, 0);
      snapshot_append (&snapshot, bytes);
      snapshot_done (&snapshot);
      g_byte_array_free (bytes, TRUE);
    }
  ck_assert_int_gt (complete, 0);
  ck_assert_int_lt (complete, ROUNDS);
  g_byte_array_free (valid, TRUE);
  g_rand_free (random);
}
END_TEST

TCase *
fuzz_case (void)
{
  TCase *tcase = tcase_create ("fuzz");

  tcase_set_timeout (tcase, 300);
  tcase_add_test (tcase, test_caller_messages);
  tcase_add_test (tcase, test_frames);
  tcase_add_test (tcase, test_sql_text);
  tcase_add_test (tcase, test_lines);
  tcase_add_test (tcase, test_snapshots);
  return tcase;
}
