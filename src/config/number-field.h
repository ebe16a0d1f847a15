/**
 * DOC: Whole numbers in JSON objects, described by tables: key, place, range, default.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/** struct NumberField - A uint32_t member of a structure, at @offset. */
typedef struct
{
  const char *key;
  size_t offset;
  uint32_t min;
  uint32_t max;
  uint32_t default_value;
} NumberField;

/** number_field_find() - Row of @fields called @key, or %NULL. */
const NumberField *number_field_find (const NumberField *fields, size_t count, const char *key);

/** number_field_reset() - Sets the member to its default. */
void number_field_reset (const NumberField *field, void *into);

/** number_field_read() - Sets the member from @value; false if it is no number of the range. */
bool number_field_read (const NumberField *field, const json_t *value, void *into);
