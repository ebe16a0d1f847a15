/**
 * DOC: Position in the store's change feed: the revision to watch from. A revision is issued again
 * after the store has come back from a backup, so a position holds in its own era only, and a
 * reader that has lost it reads everything again before it watches on.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct FeedPosition - Zeroed: none, so everything has to be read.
 * @valid: everything up to @revision has been read, in @era.
 */
typedef struct
{
  bool valid;
  uint64_t era;
  uint64_t revision;
} FeedPosition;

/** feed_position_lost() - A watch failed or was refused, or the store came back from a backup. */
void feed_position_lost (FeedPosition *position);

/** feed_position_read() - Everything was read; the answer has @era and @revision. */
void feed_position_read (FeedPosition *position, uint64_t era, uint64_t revision);

/**
 * feed_position_watched() - A watch from @position was answered with @era and @revision. In another
 * era the answer lacks changes, and the position is lost.
 */
void feed_position_watched (FeedPosition *position, uint64_t era, uint64_t revision);
