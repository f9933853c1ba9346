/* SPDX-License-Identifier: BSD-3-Clause */
/* Table-driven decoding of JSON objects into structs, with validation. Used for settings and resources. */
#ifndef BAYHOIST_FIELD_H
#define BAYHOIST_FIELD_H

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include "bayhoist/types.h"

/* C type of the struct member that a field is decoded into. */
typedef enum {
	BH__FIELD_STRING, /* char[]; `max` is the array size, including the terminator */
	BH__FIELD_U64,    /* uint64_t within [min, max] */
	BH__FIELD_REAL,   /* double within [min, max] */
	BH__FIELD_BOOL,   /* bool */
	BH__FIELD_LIST    /* GStrv that the struct owns; at most `max` entries */
} BH__FieldType;

/* Description of one field of an object. */
typedef struct {
	const char *name; /* key in the JSON object */
	BH__FieldType type;
	size_t offset; /* of the member in the struct, bytes */
	bool required; /* the object is invalid without this field */
	uint64_t min;  /* lower bound of a number, inclusive */
	uint64_t max;  /* upper bound of a number, inclusive, or a size as BH__FieldType says */
} BH__Field;

/* Rows of a field table, each for member F of struct S; the JSON key is the member's name. */
/* clang-format off */
#define BH__STRING_FIELD(S, F, REQ) {#F, BH__FIELD_STRING, offsetof(S, F), REQ, 0, sizeof(((S *)0)->F)}
#define BH__U64_FIELD(S, F, REQ, MIN, MAX) {#F, BH__FIELD_U64, offsetof(S, F), REQ, MIN, MAX}
#define BH__REAL_FIELD(S, F, MIN, MAX) {#F, BH__FIELD_REAL, offsetof(S, F), false, MIN, MAX}
#define BH__BOOL_FIELD(S, F) {#F, BH__FIELD_BOOL, offsetof(S, F), false, 0, 0}
#define BH__LIST_FIELD(S, F, MAX) {#F, BH__FIELD_LIST, offsetof(S, F), false, 0, MAX}
/* clang-format on */

/* Malformed text, an invalid field, or a reference to an object that does not exist. */
typedef enum { BH__INPUT_ERROR_SYNTAX, BH__INPUT_ERROR_FIELD, BH__INPUT_ERROR_REFERENCE } BH__InputError;

#define BH__INPUT_ERROR (bh__input_error_quark())
GQuark bh__input_error_quark(void);

struct json_object *bh__json_parse(const char *text, size_t len, GError **error);
bool bh__json_is_same(const char *a, const char *b);
bool bh__fields_decode(const BH__Field *fields, size_t count, struct json_object *object, const char *where,
					   void *out, GError **error);
bool bh__json_is_whole(struct json_object *value, uint64_t min, uint64_t max);
uint64_t bh__json_get_u64(struct json_object *value, uint64_t min, uint64_t max, uint64_t otherwise);
double bh__json_get_real(struct json_object *value, double min, double max, double otherwise);
uint64_t bh__digits_get_u64(const char *text, uint64_t max, const char **end);
unsigned bh__field_find_line(const char *text, const char *message);

#endif
