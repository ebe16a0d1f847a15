/**
 * DOC: Session token: the lowest log position that the reads of a session must observe.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum length of a printed token with its terminator, in bytes. */
#define SESSION_TOKEN_TEXT_BYTES 48

/**
 * struct SessionToken - A position in a group's log.
 * @term: term of the log entry at @position.
 * @position: index of the entry; 0 is the empty log.
 */
typedef struct
{
  uint64_t term;
  uint64_t position;
} SessionToken;

/** session_token_compare() - Log order: by term, then by position; <0, 0 or >0. */
int session_token_compare (SessionToken a, SessionToken b);

/** session_token_covers() - Whether state at @have includes everything required by @need. */
bool session_token_covers (SessionToken have, SessionToken need);

/**
 * session_token_advance() - Advances @token to @seen unless that is older. Returns whether it
 * changed.
 */
bool session_token_advance (SessionToken *token, SessionToken seen);

/** session_token_print() - Writes "term/position"; @text holds %SESSION_TOKEN_TEXT_BYTES. */
void session_token_print (SessionToken token, char *text);

/**
 * session_token_parse() - Parses "term/position"; false for anything else, and @token is
 * unchanged.
 */
bool session_token_parse (const char *text, SessionToken *token);
