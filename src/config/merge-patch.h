/**
 * DOC: JSON merge patch (RFC 7396), and the paths that a patch changes.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

/** merge_patch_apply() - Returns a new value: a copy of @target with @patch applied. */
json_t *merge_patch_apply (const json_t *target, const json_t *patch);

/** merge_patch_paths() - JSON pointers of the values that @patch sets or removes. */
GPtrArray *merge_patch_paths (const json_t *patch);

/**
 * merge_patch_paths_overlap() - Whether two JSON pointers are equal or one is an ancestor of
 * the other.
 */
bool merge_patch_paths_overlap (const char *a, const char *b);
