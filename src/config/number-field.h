/**
 * DOC: Table-driven parsing of integers in JSON objects: key, struct member, range, default.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/**
 * struct NumberField - Integer key of a JSON object, stored in a uint32_t struct member.
 * @key: JSON key.
 * @offset: offset of the member in the struct.
 * @min, @max: inclusive range.
 * @default_value: value if the key is absent.
 */
typedef struct
{
  const char *key;
  size_t offset;
  uint32_t min;
  uint32_t max;
  uint32_t default_value;
} NumberField;

/** number_field_find() - Returns the entry of @fields for @key, or %NULL. */
const NumberField *number_field_find (const NumberField *fields, size_t count, const char *key);

/** number_field_reset() - Sets the struct member to its default. */
void number_field_reset (const NumberField *field, void *object);

/**
 * number_field_read() - Sets the struct member from @value; false if @value is not an integer in
 * the range.
 */
bool number_field_read (const NumberField *field, const json_t *value, void *object);
