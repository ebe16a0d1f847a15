/**
 * DOC: A caller's statement, as the pool understands it.
 */
#pragma once

#include <stdbool.h>

/** enum StatementKind - What a statement asks for. */
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

/** statement_kind_name() - Name for logs. */
const char *statement_kind_name (StatementKind kind);

/**
 * struct Statement - One statement; filled by a codec, freed by statement_done().
 * @id: the caller's name for it, which answers are checked against.
 * @text: exactly as the caller sent it.
 * @read_only: of a BEGIN, that the transaction only reads; of a PREPARE, that the shape does.
 * @name: of SET_VALUE, PREPARE, EXECUTE, DEALLOCATE.
 * @argument: the value, the shape, or what follows the name of an EXECUTE.
 * @storage: owns all the text above.
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
