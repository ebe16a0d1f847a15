#include "policy/feed-position.h"

void
feed_position_lost (FeedPosition *position)
{
  position->valid = false;
}

void
feed_position_read (FeedPosition *position, uint64_t era, uint64_t revision)
{
  *position = (FeedPosition){ .valid = true, .era = era, .revision = revision };
}

void
feed_position_watched (FeedPosition *position, uint64_t era, uint64_t revision)
{
  if (era != position->era)
    feed_position_lost (position);
  else
    position->revision = revision;
}
