/**
 * DOC: Script commands for configuration versions: patches are validated as a whole and applied in
 * order.
 */
#include <string.h>

#include "config/config-document.h"
#include "daemon/config-replica.h"
#include "script.h"

typedef struct
{
  ConfigDocument *document;
  ConfigReplica *replica;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->document = config_document_empty ();
  state->replica = config_replica_new ();
  return state;
}

static void
end (void *data)
{
  State *state = data;

  config_document_unref (state->document);
  config_replica_free (state->replica);
  g_free (state);
}

static void
apply_patch (State *state, const char *text, GString *out)
{
  GError *error = NULL;
  json_t *patch = json_loads (text, JSON_DECODE_ANY, NULL);
  guint64 version = config_document_version (state->document) + 1;
  ConfigDocument *next = config_document_patch (state->document, version, patch, &error);

  if (next == NULL)
    {
      g_string_append (out, error->message);
      g_error_free (error);
    }
  else
    {
      ConfigPart *part
          = config_part_new (version, false, config_document_digest (next), json_incref (patch));

      g_string_append_printf (out, "version %" G_GUINT64_FORMAT ", %u services, replica %s\n",
                              version, config_document_service_count (next),
                              config_replica_apply (state->replica, part) ? "applied it"
                                                                          : "rejected it");
      config_part_free (part);
      config_document_unref (state->document);
      state->document = next;
    }
  json_decref (patch);
}

/* part VERSION whole|patch JSON: passes the part to the replica, with the matching digest. */
static void
apply_part (State *state, char **words, GString *out)
{
  char *text = g_strjoinv (" ", words + 3);
  json_t *json = json_loads (text, 0, NULL);
  bool whole = strcmp (words[2], "whole") == 0;
  guint64 version = (guint64) script_number (words, 1);
  bool applied;
  ConfigDocument *current = config_replica_document (state->replica);
  ConfigDocument *next = whole ? config_document_new (version, json, NULL)
                               : config_document_patch (current, version, json, NULL);
  ConfigPart *part
      = config_part_new (version, whole, next == NULL ? 0 : config_document_digest (next), json);

  applied = config_replica_apply (state->replica, part);
  g_string_append_printf (out, "%s, at version %" G_GUINT64_FORMAT "\n",
                          applied ? "applied" : "rejected",
                          config_replica_version (state->replica));
  config_part_free (part);
  if (next != NULL)
    config_document_unref (next);
  config_document_unref (current);
  g_free (text);
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  char *rest = g_strjoinv (" ", words + 1);

  if (strcmp (verb, "patch") == 0)
    apply_patch (state, rest, out);
  else if (strcmp (verb, "part") == 0)
    apply_part (state, words, out);
  else if (strcmp (verb, "frames") == 0)
    {
      GPtrArray *frames
          = config_replica_frames (state->replica, (guint64) script_number (words, 1));

      for (guint i = 0; i < frames->len; i++)
        {
          Frame *frame = frames->pdata[i];

          g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n",
                                  frame->config_part->whole ? "whole" : "patch",
                                  frame->config_part->version);
          frame_free (frame);
        }
      g_ptr_array_free (frames, TRUE);
    }
  else
    g_string_append (out, "unknown command\n");
  g_free (rest);
}

const ScriptKind script_config = { "config", start, command, end };
