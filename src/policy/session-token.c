#include "policy/session-token.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

int
session_token_compare (SessionToken a, SessionToken b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  if (a.position != b.position)
    return a.position < b.position ? -1 : 1;
  return 0;
}

bool
session_token_covers (SessionToken have, SessionToken need)
{
  return session_token_compare (have, need) >= 0;
}

bool
session_token_advance (SessionToken *token, SessionToken seen)
{
  if (session_token_compare (seen, *token) <= 0)
    return false;
  *token = seen;
  return true;
}

void
session_token_print (SessionToken token, char *text)
{
  snprintf (text, SESSION_TOKEN_TEXT_BYTES, "%" PRIu64 "/%" PRIu64, token.term, token.position);
}

static bool
parse_number (const char **text, uint64_t *number)
{
  char *end;

  if (!isdigit ((unsigned char) **text))
    return false;
  errno = 0;
  *number = strtoull (*text, &end, 10);
  *text = end;
  return errno == 0;
}

bool
session_token_parse (const char *text, SessionToken *token)
{
  SessionToken read;

  if (!parse_number (&text, &read.term))
    return false;
  if (*text++ != '/')
    return false;
  if (!parse_number (&text, &read.position) || *text != '\0')
    return false;
  *token = read;
  return true;
}
