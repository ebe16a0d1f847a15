#include "base/sql-text.h"

#include <ctype.h>
#include <string.h>

#define WORD_BYTES 32

/* Returns the end of the comment that starts at @at, or @at if there is none. */
static const char *
skip_comment (const char *at)
{
  int depth = 0;

  if (at[0] == '-' && at[1] == '-')
    {
      at += strcspn (at, "\n");
      return at;
    }
  if (at[0] != '/' || at[1] != '*')
    return at;
  while (*at != '\0')
    {
      if (at[0] == '/' && at[1] == '*')
        {
          depth++;
          at += 2;
        }
      else if (at[0] == '*' && at[1] == '/')
        {
          at += 2;
          if (--depth == 0)
            return at;
        }
      else
        at++;
    }
  return at;
}

static const char *
skip_white_space (const char *at)
{
  while (isspace ((unsigned char) *at))
    at++;
  return at;
}

const char *
sql_text_skip_comments (const char *sql)
{
  for (;;)
    {
      const char *start = skip_white_space (sql);

      sql = skip_comment (start);
      if (sql == start)
        return sql;
    }
}

static const char *
next_word (const char *at, char *word, size_t size)
{
  size_t length = 0;

  at = sql_text_skip_comments (at);
  while (isalnum ((unsigned char) *at) || *at == '_' || *at == '.')
    {
      if (length + 1 < size)
        word[length++] = (char) tolower ((unsigned char) *at);
      at++;
    }
  word[length] = '\0';
  return at;
}

void
sql_text_word (const char *sql, int index, char *word, size_t size)
{
  for (int i = 0; i <= index; i++)
    sql = next_word (sql, word, size);
}

static SqlVerb
transaction_end_verb (const char *rest, SqlVerb default_verb)
{
  char word[WORD_BYTES];

  for (;;)
    {
      rest = next_word (rest, word, sizeof word);
      if (word[0] == '\0')
        return default_verb;
      if (strcmp (word, "to") == 0)
        return SQL_VERB_ROLLBACK_TO;
      if (strcmp (word, "chain") == 0 || strcmp (word, "prepared") == 0)
        return SQL_VERB_CHAIN;
      if (strcmp (word, "no") == 0)
        return default_verb;
    }
}

static SqlVerb
create_verb (const char *rest)
{
  char word[WORD_BYTES];

  for (int i = 0; i < 2; i++)
    {
      rest = next_word (rest, word, sizeof word);
      if (strcmp (word, "temp") == 0 || strcmp (word, "temporary") == 0)
        return SQL_VERB_CREATE_TEMPORARY;
      if (strcmp (word, "local") != 0 && strcmp (word, "global") != 0)
        break;
    }
  return SQL_VERB_OTHER;
}

SqlVerb
sql_text_verb (const char *sql)
{
  static const struct
  {
    const char *word;
    SqlVerb verb;
  } verbs[] = {
    { "begin", SQL_VERB_BEGIN },
    { "start", SQL_VERB_BEGIN },
    { "commit", SQL_VERB_COMMIT },
    { "end", SQL_VERB_COMMIT },
    { "rollback", SQL_VERB_ROLLBACK },
    { "abort", SQL_VERB_ROLLBACK },
    { "set", SQL_VERB_SET },
    { "reset", SQL_VERB_RESET },
    { "show", SQL_VERB_SHOW },
    { "discard", SQL_VERB_DISCARD },
    { "copy", SQL_VERB_COPY },
    { "deallocate", SQL_VERB_DEALLOCATE },
    { "listen", SQL_VERB_LISTEN },
    { "unlisten", SQL_VERB_UNLISTEN },
    { "notify", SQL_VERB_NOTIFY },
    { "prepare", SQL_VERB_PREPARE },
    { "execute", SQL_VERB_EXECUTE },
    { "load", SQL_VERB_LOAD },
    { "create", SQL_VERB_CREATE_TEMPORARY },
  };
  char word[WORD_BYTES];
  const char *rest = next_word (sql, word, sizeof word);

  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    {
      if (strcmp (verbs[i].word, word) != 0)
        continue;
      if (verbs[i].verb == SQL_VERB_COMMIT || verbs[i].verb == SQL_VERB_ROLLBACK)
        return transaction_end_verb (rest, verbs[i].verb);
      if (verbs[i].verb == SQL_VERB_CREATE_TEMPORARY)
        return create_verb (rest);
      return verbs[i].verb;
    }
  if (word[0] != '\0')
    return SQL_VERB_OTHER;
  rest = sql_text_skip_comments (sql);
  return *rest == '\0' || *rest == ';' ? SQL_VERB_EMPTY : SQL_VERB_OTHER;
}

static bool
tag_in_comment (const char *at, const char *end, const char *key, char *value, size_t size)
{
  size_t key_length = strlen (key);

  for (; at + key_length + 2 <= end; at++)
    {
      const char *start = at + key_length + 2;
      const char *stop;

      if (strncmp (at, key, key_length) != 0 || at[key_length] != '=' || at[key_length + 1] != '\'')
        continue;
      if (isalnum ((unsigned char) at[-1]) || at[-1] == '_')
        continue;
      stop = memchr (start, '\'', (size_t) (end - start));
      if (stop == NULL || (size_t) (stop - start) >= size)
        return false;
      memcpy (value, start, (size_t) (stop - start));
      value[stop - start] = '\0';
      return true;
    }
  return false;
}

bool
sql_text_tag (const char *sql, const char *key, char *value, size_t size)
{
  for (;;)
    {
      const char *start = skip_white_space (sql);
      const char *end = skip_comment (start);

      if (end == start)
        return false;
      if (start[0] == '/' && tag_in_comment (start + 2, end, key, value, size))
        return true;
      sql = end;
    }
}

/* Returns the end of the quoted string or identifier that starts at @at. With @escapes a backslash
 * escapes the character after it. */
static const char *
skip_quoted (const char *at, bool escapes)
{
  char quote = *at++;

  while (*at != '\0')
    {
      if (escapes && *at == '\\' && at[1] != '\0')
        at += 2;
      else if (*at == quote && at[1] == quote)
        at += 2;
      else if (*at == quote)
        return at + 1;
      else
        at++;
    }
  return at;
}

/* Returns the end of the dollar-quoted string ($tag$ ... $tag$) that starts at @at, or @at + 1 if
 * none starts there. */
static const char *
skip_dollar_quoted (const char *at)
{
  const char *tag_end = at + 1;
  size_t length;

  if (!isdigit ((unsigned char) *tag_end))
    while (isalnum ((unsigned char) *tag_end) || *tag_end == '_')
      tag_end++;
  if (*tag_end != '$')
    return at + 1;
  length = (size_t) (tag_end - at) + 1;
  for (const char *close = at + length; *close != '\0'; close++)
    if (strncmp (close, at, length) == 0)
      return close + length;
  return at + strlen (at);
}

static bool
is_word_character (char character)
{
  return isalnum ((unsigned char) character) || character == '_' || character == '$'
         || (unsigned char) character >= 0x80;
}

/* Returns the end of the keyword, identifier or number that starts at @at, together with the string
 * behind it if the word is the prefix of an escape string. */
static const char *
skip_word (const char *at)
{
  const char *end = at;

  while (is_word_character (*end))
    end++;
  if (end == at + 1 && tolower ((unsigned char) *at) == 'e' && *end == '\'')
    return skip_quoted (end, true);
  return end;
}

bool
sql_text_is_single (const char *sql)
{
  while (*sql != '\0')
    {
      const char *after = skip_comment (sql);

      if (after != sql)
        sql = after;
      else if (*sql == '\'' || *sql == '"')
        sql = skip_quoted (sql, false);
      else if (*sql == '$')
        sql = skip_dollar_quoted (sql);
      else if (is_word_character (*sql))
        sql = skip_word (sql);
      else if (*sql == ';')
        return *sql_text_skip_comments (sql + 1) == '\0';
      else
        sql++;
    }
  return true;
}

static void
copy_value (const char *at, char *value, size_t size)
{
  size_t length;

  if (*at == '\'')
    {
      at++;
      length = strcspn (at, "'");
    }
  else
    {
      length = strcspn (at, ";");
      while (length > 0 && isspace ((unsigned char) at[length - 1]))
        length--;
    }
  if (length >= size)
    length = size - 1;
  memcpy (value, at, length);
  value[length] = '\0';
}

bool
sql_text_assignment (const char *sql, char *name, size_t name_size, char *value, size_t value_size)
{
  char word[WORD_BYTES];
  const char *at = next_word (sql, word, sizeof word);

  if (strcmp (word, "set") != 0)
    return false;
  at = next_word (at, name, name_size);
  if (strcmp (name, "session") == 0)
    at = next_word (at, name, name_size);
  if (name[0] == '\0')
    return false;
  at = skip_white_space (at);
  if (*at == '=')
    at++;
  else
    {
      at = next_word (at, word, sizeof word);
      if (strcmp (word, "to") != 0)
        return false;
    }
  copy_value (skip_white_space (at), value, value_size);
  return true;
}
