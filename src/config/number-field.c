#include "config/number-field.h"

#include <string.h>

const NumberField *
number_field_find (const NumberField *fields, size_t count, const char *key)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return &fields[i];
  return NULL;
}

static uint32_t *
field_pointer (const NumberField *field, void *object)
{
  return (uint32_t *) ((char *) object + field->offset);
}

void
number_field_reset (const NumberField *field, void *object)
{
  *field_pointer (field, object) = field->default_value;
}

bool
number_field_read (const NumberField *field, const json_t *value, void *object)
{
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value) || number < (json_int_t) field->min
      || number > (json_int_t) field->max)
    return false;
  *field_pointer (field, object) = (uint32_t) number;
  return true;
}
