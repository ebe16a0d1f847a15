#include "pipeline/classify.h"

#include "base/sql-text.h"

const ClassConfig *
classify_statement (const ServiceConfig *service, const Session *session, const char *sql)
{
  char name[NAME_BYTES];

  if (sql_text_tag (sql, "class", name, sizeof name))
    return service_config_class (service, name);
  if (session->class_name[0] != '\0')
    return service_config_class (service, session->class_name);
  return &service->classes[service->default_class];
}
