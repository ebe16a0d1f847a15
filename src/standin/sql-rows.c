#include "standin/sql-rows.h"

#include "adapter/pgwire.h"
#include "standin/sql-engine.h"

void
sql_rows_put_columns (GByteArray *out, sqlite3_stmt *statement, bool has_row)
{
  guint mark = pgwire_begin (out, 'T');
  int columns = sqlite3_column_count (statement);

  pgwire_put_u16 (out, (uint16_t) columns);
  for (int i = 0; i < columns; i++)
    {
      pgwire_put_string (out, sqlite3_column_name (statement, i));
      pgwire_put_u32 (out, 0);
      pgwire_put_u16 (out, 0);
      pgwire_put_u32 (out, sql_column_type (statement, i, has_row));
      pgwire_put_u16 (out, (uint16_t) -1);
      pgwire_put_u32 (out, (uint32_t) -1);
      pgwire_put_u16 (out, 0);
    }
  pgwire_end (out, mark);
}

void
sql_rows_put_row (GByteArray *out, sqlite3_stmt *statement)
{
  guint mark = pgwire_begin (out, 'D');
  int columns = sqlite3_column_count (statement);

  pgwire_put_u16 (out, (uint16_t) columns);
  for (int i = 0; i < columns; i++)
    {
      const unsigned char *text = sqlite3_column_text (statement, i);
      int length = sqlite3_column_bytes (statement, i);

      pgwire_put_u32 (out, text == NULL ? (uint32_t) -1 : (uint32_t) length);
      pgwire_put_bytes (out, text, text == NULL ? 0 : (uint32_t) length);
    }
  pgwire_end (out, mark);
}
