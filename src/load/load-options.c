#include "load/load-options.h"

#include <stdlib.h>
#include <string.h>

typedef char *(*ItemParser) (LoadOptions *options, char **fields, guint count);

/* Parses a comma-separated list of items whose fields are separated by colons. */
static char *
parse_list (LoadOptions *options, const char *text, ItemParser parse_item)
{
  char **items = g_strsplit (text, ",", -1);
  char *error = NULL;

  for (char **item = items; *item != NULL && error == NULL; item++)
    {
      char **fields = g_strsplit (*item, ":", -1);

      if (**item != '\0')
        error = parse_item (options, fields, g_strv_length (fields));
      g_strfreev (fields);
    }
  g_strfreev (items);
  return error;
}

static char *
parse_host (LoadOptions *options, char **fields, guint count)
{
  LoadHost *host = &options->hosts[options->host_count];
  long port = count == 2 ? strtol (fields[1], NULL, 10) : 0;

  if (port < 1 || port > 65535 || options->host_count == LOAD_HOSTS_MAX)
    return g_strdup ("hosts must be a comma-separated list of up to 64 IP:PORT");
  g_strlcpy (host->address, fields[0], sizeof host->address);
  host->port = (uint16_t) port;
  options->host_count++;
  return NULL;
}

char *
load_options_hosts (LoadOptions *options, const char *text)
{
  return parse_list (options, text, parse_host);
}

static bool
parse_kind (const char *text, LoadKind *kind)
{
  static const char *const names[] = { [LOAD_READ] = "read",
                                       [LOAD_WRITE] = "write",
                                       [LOAD_IDEMPOTENT_WRITE] = "idem",
                                       [LOAD_TRANSACTION] = "txn" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], text) == 0)
      {
        *kind = (LoadKind) i;
        return true;
      }
  return false;
}

static char *
parse_class (LoadOptions *options, char **fields, guint count)
{
  LoadClass *entry = &options->classes[options->class_count];

  if (count != 3 || options->class_count == LOAD_CLASSES_MAX
      || !parse_kind (fields[1], &entry->kind))
    return g_strdup (
        "mix must be a comma-separated list of up to 12 CLASS:read|write|idem|txn:RATE");
  g_strlcpy (entry->name, fields[0], sizeof entry->name);
  entry->rate_per_s = g_ascii_strtod (fields[2], NULL);
  if (entry->rate_per_s < 0 || entry->rate_per_s > 100000)
    return g_strdup ("a rate in the mix must be from 0 to 100000 per second");
  options->class_count++;
  return NULL;
}

char *
load_options_mix (LoadOptions *options, const char *text)
{
  return parse_list (options, text, parse_class);
}

static char *
parse_flood (LoadOptions *options, char **fields, guint count)
{
  if (count == 4)
    for (uint32_t i = 0; i < options->class_count; i++)
      {
        LoadClass *entry = &options->classes[i];

        if (strcmp (entry->name, fields[0]) != 0)
          continue;
        entry->flood_rate_per_s = CLAMP (g_ascii_strtod (fields[1], NULL), 0, 100000);
        entry->flood_from_ms = (int64_t) (g_ascii_strtod (fields[2], NULL) * 1000);
        entry->flood_to_ms = (int64_t) (g_ascii_strtod (fields[3], NULL) * 1000);
        return NULL;
      }
  return g_strdup ("flood must be CLASS:RATE:FROM_S:TO_S for a class of the mix");
}

char *
load_options_flood (LoadOptions *options, const char *text)
{
  return parse_list (options, text, parse_flood);
}

double
load_class_rate (const LoadClass *class_entry, int64_t at_ms)
{
  double rate = class_entry->rate_per_s;

  if (at_ms >= class_entry->flood_from_ms && at_ms < class_entry->flood_to_ms)
    rate += class_entry->flood_rate_per_s;
  return rate;
}
