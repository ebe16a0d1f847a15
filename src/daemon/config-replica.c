#include "daemon/config-replica.h"

#include <string.h>

#include "base/log.h"

/* Patches kept for peers; a peer further behind gets the complete document. */
#define PATCHES_MAX 256

struct ConfigReplica
{
  ConfigDocument *document;
  GQueue patches; /* ConfigPart, oldest first, consecutive up to the current version */
};

ConfigReplica *
config_replica_new (void)
{
  ConfigReplica *replica = g_new0 (ConfigReplica, 1);

  replica->document = config_document_empty ();
  g_queue_init (&replica->patches);
  return replica;
}

void
config_replica_free (ConfigReplica *replica)
{
  config_document_unref (replica->document);
  g_queue_clear_full (&replica->patches, (GDestroyNotify) config_part_free);
  g_free (replica);
}

uint64_t
config_replica_version (const ConfigReplica *replica)
{
  return config_document_version (replica->document);
}

ConfigDocument *
config_replica_document (const ConfigReplica *replica)
{
  return config_document_ref (replica->document);
}

/* Keeps a patch for peers; a complete document breaks the sequence, so all patches are dropped. */
static void
save_patch (ConfigReplica *replica, const ConfigPart *part)
{
  if (part->whole)
    {
      g_queue_clear_full (&replica->patches, (GDestroyNotify) config_part_free);
      return;
    }
  g_queue_push_tail (&replica->patches, config_part_new (part->version, false, part->digest,
                                                         json_incref (part->json)));
  if (g_queue_get_length (&replica->patches) > PATCHES_MAX)
    config_part_free (g_queue_pop_head (&replica->patches));
}

bool
config_replica_apply (ConfigReplica *replica, const ConfigPart *part)
{
  GError *error = NULL;
  ConfigDocument *next;

  if (part->version <= config_replica_version (replica))
    return false;
  if (!part->whole && part->version != config_replica_version (replica) + 1)
    return false;
  next = config_part_apply (replica->document, part, &error);
  if (next == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "config_part_refused",
                 "version=%" G_GUINT64_FORMAT " reason=\"%s\"", part->version, error->message);
      g_error_free (error);
      return false;
    }
  config_document_unref (replica->document);
  replica->document = next;
  save_patch (replica, part);
  return true;
}

static Frame *
part_frame (const ConfigPart *part)
{
  Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_CONFIG_PART);

  frame->config_part->version = part->version;
  frame->config_part->whole = part->whole;
  frame->config_part->digest = part->digest;
  frame->config_part->json = json_dumps (part->json, JSON_COMPACT);
  return frame;
}

static Frame *
document_frame (const ConfigReplica *replica)
{
  ConfigPart *part = config_part_new (config_replica_version (replica), true,
                                      config_document_digest (replica->document),
                                      config_document_json (replica->document));
  Frame *frame = part_frame (part);

  config_part_free (part);
  return frame;
}

GPtrArray *
config_replica_frames (const ConfigReplica *replica, uint64_t have)
{
  GPtrArray *frames = g_ptr_array_new ();
  const ConfigPart *oldest = g_queue_peek_head ((GQueue *) &replica->patches);

  if (have >= config_replica_version (replica))
    return frames;
  if (oldest == NULL || oldest->version > have + 1)
    {
      g_ptr_array_add (frames, document_frame (replica));
      return frames;
    }
  for (GList *l = replica->patches.head; l != NULL; l = l->next)
    if (((ConfigPart *) l->data)->version > have)
      g_ptr_array_add (frames, part_frame (l->data));
  return frames;
}

ConfigPart *
config_part_from_frame (const Frame *frame)
{
  json_t *json = json_loads (frame->config_part->json, 0, NULL);

  if (json == NULL)
    return NULL;
  return config_part_new (frame->config_part->version, frame->config_part->whole,
                          frame->config_part->digest, json);
}
