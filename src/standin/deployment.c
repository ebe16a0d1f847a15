#include "standin/deployment.h"

#include <string.h>

static const Deployment deployments[] = {
  {
      .name = "shops",
      .domains = { "reykjavik-1", "reykjavik-2", "akureyri-1" },
      .regions = { "reykjavik", "reykjavik", "akureyri" },
      .service_prefix = "ordering",
      .default_class = "order",
      .classes = { { "order", "urgent", "write", false, 0, 5000 },
                   { "stock_page", "normal", "read", false, 3000, 3000 },
                   { "stock_change", "normal", "write", true, 0, 5000 },
                   { "report", "background", "read", false, 30000, 10000 } },
      .connections = 30,
      .slots = 5,
      .domain_delay_us = 1000,
      .region_delay_us = 12000,
      .region_bytes_per_s = 30 * 1000 * 1000 / 8,
  },
  {
      .name = "funiculars",
      .domains = { "gorenjska-1", "gorenjska-2", "stajerska-1" },
      .regions = { "gorenjska", "gorenjska", "stajerska" },
      .service_prefix = "passes",
      .default_class = "sale",
      .classes = { { "gate_check", "urgent", "read", true, 2000, 1000 },
                   { "boarding", "urgent", "write", true, 0, 2000 },
                   { "sale", "normal", "write", false, 0, 5000 },
                   { "lookup", "background", "read", true, 15000, 8000 } },
      .connections = 50,
      .slots = 5,
      .domain_delay_us = 500,
      .region_delay_us = 12000,
      .region_bytes_per_s = 30 * 1000 * 1000 / 8,
  },
};

const Deployment *
deployment_find (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (deployments); i++)
    if (strcmp (deployments[i].name, name) == 0)
      return &deployments[i];
  return NULL;
}

static const char *
region_of (const Deployment *deployment, const char *domain)
{
  for (int i = 0; i < DEPLOYMENT_DOMAINS; i++)
    if (strcmp (deployment->domains[i], domain) == 0)
      return deployment->regions[i];
  return "";
}

int64_t
deployment_delay_us (const char *from_domain, const char *to_domain, void *data)
{
  const Deployment *deployment = data;

  if (strcmp (from_domain, to_domain) == 0)
    return 0;
  if (strcmp (region_of (deployment, from_domain), region_of (deployment, to_domain)) == 0)
    return deployment->domain_delay_us;
  return deployment->region_delay_us;
}

/* Spreads the primaries: each service starts in the domain after that of the previous service. */
uint32_t
deployment_instance_domain (uint32_t service, uint32_t instance)
{
  return (service + instance) % DEPLOYMENT_DOMAINS;
}

static json_t *
make_regions (const Deployment *deployment)
{
  json_t *regions = json_object ();

  for (int i = 0; i < DEPLOYMENT_DOMAINS; i++)
    {
      json_t *domains = json_object_get (regions, deployment->regions[i]);

      if (domains == NULL)
        {
          domains = json_array ();
          json_object_set_new (regions, deployment->regions[i], domains);
        }
      json_array_append_new (domains, json_string (deployment->domains[i]));
    }
  return regions;
}

static json_t *
make_classes (const Deployment *deployment)
{
  json_t *classes = json_object ();

  for (size_t i = 0; i < G_N_ELEMENTS (deployment->classes); i++)
    {
      const DeploymentClass *entry = &deployment->classes[i];
      json_t *json
          = json_pack ("{s:s, s:s, s:b, s:i}", "priority", entry->priority, "access", entry->access,
                       "idempotent", entry->idempotent, "deadline_ms", (int) entry->deadline_ms);

      if (entry->max_age_ms > 0)
        json_object_set_new (json, "max_age_ms", json_integer (entry->max_age_ms));
      json_object_set_new (classes, entry->name, json);
    }
  return classes;
}

static json_t *
make_instances (const Deployment *deployment, const char *address, uint32_t service,
                const uint16_t *ports)
{
  json_t *instances = json_object ();

  for (uint32_t i = 0; i < DEPLOYMENT_INSTANCES; i++)
    {
      const char name[] = { (char) ('a' + i), '\0' };

      json_object_set_new (
          instances, name,
          json_pack ("{s:s, s:i, s:s}", "address", address, "port", (int) ports[i],
                     "failure_domain",
                     deployment->domains[deployment_instance_domain (service, i)]));
    }
  return instances;
}

json_t *
deployment_config (const Deployment *deployment, const char *address,
                   const uint16_t ports[DEPLOYMENT_SERVICES][DEPLOYMENT_INSTANCES])
{
  json_t *services = json_object ();

  for (uint32_t i = 0; i < DEPLOYMENT_SERVICES; i++)
    {
      char *name = g_strdup_printf ("%s%u", deployment->service_prefix, i + 1);

      json_object_set_new (
          services, name,
          json_pack ("{s:o, s:o, s:s, s:i, s:i, s:i, s:{s:i, s:i}}", "instances",
                     make_instances (deployment, address, i, ports[i]), "classes",
                     make_classes (deployment), "default_class", deployment->default_class, "slots",
                     (int) deployment->slots, "connections", (int) deployment->connections,
                     "reserved_slots", 1, "floors", "normal", 20, "background", 10));
      g_free (name);
    }
  return json_pack ("{s:s, s:o, s:o}", "title", deployment->name, "regions",
                    make_regions (deployment), "services", services);
}
