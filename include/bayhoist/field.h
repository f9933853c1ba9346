/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading checked JSON objects into structs by a table of fields. Used for settings and resources alike. */
#ifndef BAYHOIST_FIELD_H
#define BAYHOIST_FIELD_H

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include "bayhoist/types.h"

typedef enum {
	BH__FIELD_STRING, /* char[], `max` is the array's size */
	BH__FIELD_U64,    /* uint64_t within [min, max] */
	BH__FIELD_REAL,   /* double within [min, max] */
	BH__FIELD_BOOL,   /* bool */
	BH__FIELD_LIST    /* char *[] of strings, a GStrv that the struct owns; `max` entries at most */
} BH__FieldType;

/* One field of an object: its JSON name, where it goes, whether it must be there and its bounds. */
typedef struct {
	const char *name;
	BH__FieldType type;
	size_t offset;
	bool required;
	uint64_t min;
	uint64_t max;
} BH__Field;

/* Rows of a table of fields: field F of struct S, whose JSON name is the same. */
/* clang-format off */
#define BH__STRING_FIELD(S, F, REQ) {#F, BH__FIELD_STRING, offsetof(S, F), REQ, 0, sizeof(((S *)0)->F)}
#define BH__U64_FIELD(S, F, REQ, MIN, MAX) {#F, BH__FIELD_U64, offsetof(S, F), REQ, MIN, MAX}
#define BH__REAL_FIELD(S, F, MIN, MAX) {#F, BH__FIELD_REAL, offsetof(S, F), false, MIN, MAX}
#define BH__BOOL_FIELD(S, F) {#F, BH__FIELD_BOOL, offsetof(S, F), false, 0, 0}
#define BH__LIST_FIELD(S, F, MAX) {#F, BH__FIELD_LIST, offsetof(S, F), false, 0, MAX}
/* clang-format on */

typedef enum { BH__INPUT_ERROR_SYNTAX, BH__INPUT_ERROR_FIELD, BH__INPUT_ERROR_REFERENCE } BH__InputError;

#define BH__INPUT_ERROR (bh__input_error_quark())
GQuark bh__input_error_quark(void);

struct json_object *bh__json_parse(const char *text, size_t len, GError **error);
bool bh__fields_read(const BH__Field *fields, size_t count, struct json_object *object, const char *where,
					 void *out, GError **error);
unsigned bh__field_find_line(const char *text, const char *message);

#endif
