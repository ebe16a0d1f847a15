/**
 * DOC: The little that is read of SQL text: leading comments with their tags, the first
 * word, and whether there is more than one statement. Nothing else is parsed.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** enum SqlVerb - What a statement starts with. */
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

/** sql_text_skip_comments() - First character after white space and comments. */
const char *sql_text_skip_comments (const char *sql);

/** sql_text_verb() - Verb of the statement. */
SqlVerb sql_text_verb (const char *sql);

/**
 * sql_text_tag() - Value of key='value' in the leading comments, as sqlcommenter writes
 * them. False when absent or longer than @size - 1 bytes.
 */
bool sql_text_tag (const char *sql, const char *key, char *value, size_t size);

/** sql_text_is_single() - Whether there is at most one statement. */
bool sql_text_is_single (const char *sql);

/**
 * sql_text_assignment() - Reads SET [SESSION] name {=|TO} value. False if it is not of that
 * form; @name is in lower case, quotes around @value are taken off.
 */
bool sql_text_assignment (const char *sql, char *name, size_t name_size, char *value,
                          size_t value_size);

/** sql_text_word() - Copies word number @index of the statement in lower case; "" if none. */
void sql_text_word (const char *sql, int index, char *word, size_t size);
