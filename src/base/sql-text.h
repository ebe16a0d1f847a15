/**
 * DOC: Minimal scanner of SQL text: tags in leading comments, the first words, assignments by
 * SET, and whether there is more than one statement. SQL is not parsed beyond that.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** enum SqlVerb - Kind of statement, by its first words. */
typedef enum
{
  SQL_VERB_EMPTY,
  SQL_VERB_OTHER,
  SQL_VERB_BEGIN,
  SQL_VERB_COMMIT,
  SQL_VERB_ROLLBACK,
  SQL_VERB_ROLLBACK_TO,
  SQL_VERB_CHAIN, /* COMMIT or ROLLBACK ... AND CHAIN, or PREPARED */
  SQL_VERB_SET,
  SQL_VERB_RESET,
  SQL_VERB_SHOW,
  SQL_VERB_DISCARD,
  SQL_VERB_DEALLOCATE,
  SQL_VERB_COPY,
  SQL_VERB_LISTEN,
  SQL_VERB_UNLISTEN,
  SQL_VERB_NOTIFY,
  SQL_VERB_PREPARE,
  SQL_VERB_EXECUTE,
  SQL_VERB_LOAD,
  SQL_VERB_CREATE_TEMPORARY
} SqlVerb;

/** sql_text_skip_comments() - Skips leading white space and comments. */
const char *sql_text_skip_comments (const char *sql);

/** sql_text_verb() - Kind of the statement @sql. */
SqlVerb sql_text_verb (const char *sql);

/**
 * sql_text_tag() - Finds key='value' in the leading comments, the format of sqlcommenter. False if
 * it is absent or the value is longer than @size - 1 bytes.
 */
bool sql_text_tag (const char *sql, const char *key, char *value, size_t size);

/** sql_text_is_single() - Returns whether @sql holds at most one statement. */
bool sql_text_is_single (const char *sql);

/**
 * sql_text_assignment() - Parses SET [SESSION] name {=|TO} value; false for anything else. @name
 * is converted to lower case and quotes around @value are removed.
 */
bool sql_text_assignment (const char *sql, char *name, size_t name_size, char *value,
                          size_t value_size);

/**
 * sql_text_word() - Copies word @index (from 0) of the statement in lower case; "" if there is
 * none.
 */
void sql_text_word (const char *sql, int index, char *word, size_t size);
