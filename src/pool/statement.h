/**
 * DOC: A caller's statement as parsed by a codec.
 */
#pragma once

#include <stdbool.h>

/** enum StatementKind - Kinds of statements. */
typedef enum
{
  STATEMENT_BEGIN,
  STATEMENT_COMMIT,
  STATEMENT_ROLLBACK,
  STATEMENT_READ,
  STATEMENT_WRITE,
  STATEMENT_SET_VALUE,
  STATEMENT_PREPARE,
  STATEMENT_EXECUTE,
  STATEMENT_DEALLOCATE,
  STATEMENT_MALFORMED,
  STATEMENT_KIND_COUNT
} StatementKind;

/** statement_kind_name() - Name of @kind in log lines. */
const char *statement_kind_name (StatementKind kind);

/**
 * struct Statement - One statement; filled by a codec, freed by statement_done().
 * @id: id chosen by the caller, which answers repeat.
 * @text: exactly as the caller sent it.
 * @read_only: of a BEGIN: the transaction only reads; of a PREPARE: the prepared statement does.
 * @name: of SET_VALUE, PREPARE, EXECUTE, DEALLOCATE.
 * @argument: the value, the prepared statement, or what follows the name of an EXECUTE.
 * @storage: owns all of the text above.
 */
typedef struct
{
  StatementKind kind;
  const char *id;
  const char *text;
  bool read_only;
  const char *name;
  const char *argument;
  char *storage[2];
} Statement;

/** statement_done() - Frees the text. Safe to call on a zeroed statement. */
void statement_done (Statement *statement);
