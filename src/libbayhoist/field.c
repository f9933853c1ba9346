/* SPDX-License-Identifier: BSD-3-Clause */
/* Table-driven decoding of JSON objects. Error messages name the field and the cause. */
#include "bayhoist/field.h"

#include <math.h>
#include <string.h>

#define MAX_DEPTH_ 32 /* nesting levels of a JSON text */

static unsigned get_line_number_(const char *text, size_t offset);
static bool is_rest_empty_(const char *text, size_t len, size_t offset);
static bool read_field_(const BH__Field *f, struct json_object *value, const char *where, void *out,
						GError **error);
static bool read_string_(const BH__Field *f, struct json_object *value, const char *where, char *out,
						 GError **error);
static bool read_u64_(const BH__Field *f, struct json_object *value, const char *where, uint64_t *out,
					  GError **error);
static bool read_real_(const BH__Field *f, struct json_object *value, const char *where, double *out,
					   GError **error);
static bool read_list_(const BH__Field *f, struct json_object *value, const char *where, char ***out,
					   GError **error);
static const BH__Field *find_field_(const BH__Field *fields, size_t count, const char *name);
static bool set_type_error_(const BH__Field *f, const char *where, const char *wanted, GError **error);

GQuark bh__input_error_quark(void)
{
	return g_quark_from_static_string("bh-input-error");
}

/* Parses a text that holds one JSON value; comments are allowed. Returns the value, which the caller frees
 * with json_object_put(). On malformed JSON or invalid UTF-8, returns NULL and sets a BH__INPUT_ERROR_SYNTAX
 * error that names the line. */
struct json_object *bh__json_parse(const char *text, size_t len, GError **error)
{
	struct json_tokener *tok = json_tokener_new_ex(MAX_DEPTH_);
	struct json_object *value;
	enum json_tokener_error err;

	json_tokener_set_flags(tok, JSON_TOKENER_VALIDATE_UTF8);
	value = json_tokener_parse_ex(tok, text, (int)len);
	err = json_tokener_get_error(tok);
	if (value && !is_rest_empty_(text, len, json_tokener_get_parse_end(tok))) {
		json_object_put(value);
		value = NULL;
		err = json_tokener_error_parse_unexpected;
	}
	if (err ==
		json_tokener_continue) /* a number at the end of the text is complete only with the terminator */
		value = json_tokener_parse_ex(tok, "", 1);
	if (!value)
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_SYNTAX, "line %u: malformed JSON: %s",
					get_line_number_(text, json_tokener_get_parse_end(tok)),
					err == json_tokener_continue ? "unexpected end of text" : json_tokener_error_desc(err));
	json_tokener_free(tok);
	return value;
}

/* Returns true if two texts hold the same values, whatever the order of fields and the white space. */
bool bh__json_is_same(const char *a, const char *b)
{
	struct json_object *value[2];
	bool same;

	if (!strcmp(a, b))
		return true;
	value[0] = bh__json_parse(a, strlen(a), NULL);
	value[1] = bh__json_parse(b, strlen(b), NULL);
	same = value[0] && value[1] && json_object_equal(value[0], value[1]);
	json_object_put(value[0]);
	json_object_put(value[1]);
	return same;
}

/* Returns true if the text after `offset` starts, after any whitespace, with a NUL byte or a comment, or if
 * it ends there. */
static bool is_rest_empty_(const char *text, size_t len, size_t offset)
{
	while (offset < len && g_ascii_isspace(text[offset]))
		offset++;
	return offset >= len || text[offset] == '/' || text[offset] == '\0';
}

/* Returns the number of the line that holds the byte at `offset`, counted from 1. */
static unsigned get_line_number_(const char *text, size_t offset)
{
	unsigned line = 1;
	for (size_t i = 0; i < offset && text[i]; i++)
		line += text[i] == '\n';
	return line;
}

/* Decodes every field of `object` into the struct `out`. Optional fields that are absent keep their value in
 * `out`. `where` names the object in error messages. On an unknown, missing, ill-typed or out-of-range field,
 * returns false and sets a BH__INPUT_ERROR_FIELD error; fields that precede it are already stored in `out`.
 */
bool bh__fields_decode(const BH__Field *fields, size_t count, struct json_object *object, const char *where,
					   void *out, GError **error)
{
	if (!json_object_is_type(object, json_type_object)) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "%s: must be an object", where);
		return false;
	}
	json_object_object_foreach(object, key, value)
	{
		const BH__Field *f = find_field_(fields, count, key);
		if (!f) {
			g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "%s: field \"%s\": unknown field",
						where, key);
			return false;
		}
		if (!read_field_(f, value, where, out, error))
			return false;
	}
	for (size_t i = 0; i < count; i++) {
		if (fields[i].required && !json_object_object_get_ex(object, fields[i].name, NULL)) {
			g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
						"%s: field \"%s\": required but absent", where, fields[i].name);
			return false;
		}
	}
	return true;
}

/* Returns the field with this JSON name, or NULL. */
static const BH__Field *find_field_(const BH__Field *fields, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(fields[i].name, name))
			return &fields[i];
	return NULL;
}

/* Decodes `value` into the member that `f` describes. Returns false with an error if it is invalid. */
static bool read_field_(const BH__Field *f, struct json_object *value, const char *where, void *out,
						GError **error)
{
	char *dest = (char *)out + f->offset;

	switch (f->type) {
	case BH__FIELD_STRING:
		return read_string_(f, value, where, dest, error);
	case BH__FIELD_U64:
		return read_u64_(f, value, where, (uint64_t *)(void *)dest, error);
	case BH__FIELD_REAL:
		return read_real_(f, value, where, (double *)(void *)dest, error);
	case BH__FIELD_LIST:
		return read_list_(f, value, where, (char ***)(void *)dest, error);
	case BH__FIELD_BOOL:
		if (!json_object_is_type(value, json_type_boolean))
			return set_type_error_(f, where, "true or false", error);
		*(bool *)dest = json_object_get_boolean(value);
		return true;
	}
	return false;
}

/* Sets an error that names the type that the field requires. Always returns false. */
static bool set_type_error_(const BH__Field *f, const char *where, const char *wanted, GError **error)
{
	g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "%s: field \"%s\": must be %s", where, f->name,
				wanted);
	return false;
}

/* Copies a string to `out`. Returns false with an error if it does not fit, terminator included. */
static bool read_string_(const BH__Field *f, struct json_object *value, const char *where, char *out,
						 GError **error)
{
	if (!json_object_is_type(value, json_type_string))
		return set_type_error_(f, where, "a string", error);
	if ((uint64_t)json_object_get_string_len(value) >= f->max) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "%s: field \"%s\": longer than %u bytes",
					where, f->name, (unsigned)(f->max - 1));
		return false;
	}
	g_strlcpy(out, json_object_get_string(value), f->max);
	return true;
}

/* Stores an integer in `out`. Returns false with an error if it is out of bounds. */
static bool read_u64_(const BH__Field *f, struct json_object *value, const char *where, uint64_t *out,
					  GError **error)
{
	if (!json_object_is_type(value, json_type_int))
		return set_type_error_(f, where, "a whole number", error);
	if (!bh__json_is_whole(value, f->min, f->max)) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
					"%s: field \"%s\": %s is outside %" G_GUINT64_FORMAT "..%" G_GUINT64_FORMAT, where,
					f->name, json_object_get_string(value), f->min, f->max);
		return false;
	}
	*out = json_object_get_uint64(value);
	return true;
}

/* Stores a number in `out`. Returns false with an error if it is out of bounds or NaN. */
static bool read_real_(const BH__Field *f, struct json_object *value, const char *where, double *out,
					   GError **error)
{
	double n;

	if (!json_object_is_type(value, json_type_double) && !json_object_is_type(value, json_type_int))
		return set_type_error_(f, where, "a number", error);
	n = json_object_get_double(value);
	if (!(n >= (double)f->min && n <= (double)f->max)) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "%s: field \"%s\": %g is outside %g..%g",
					where, f->name, n, (double)f->min, (double)f->max);
		return false;
	}
	*out = n;
	return true;
}

/* Replaces the list in `out` with a copy of a JSON array of strings and frees the former list. Returns false
 * with an error, and leaves `out` unchanged, if the array is too long or holds another type. */
static bool read_list_(const BH__Field *f, struct json_object *value, const char *where, char ***out,
					   GError **error)
{
	size_t n;

	if (!json_object_is_type(value, json_type_array))
		return set_type_error_(f, where, "a list of strings", error);
	n = json_object_array_length(value);
	if (n > f->max) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "%s: field \"%s\": more than %u entries",
					where, f->name, (unsigned)f->max);
		return false;
	}
	for (size_t i = 0; i < n; i++)
		if (!json_object_is_type(json_object_array_get_idx(value, i), json_type_string))
			return set_type_error_(f, where, "a list of strings", error);
	g_strfreev(*out);
	*out = g_new0(char *, n + 1);
	for (size_t i = 0; i < n; i++)
		(*out)[i] = g_strdup(json_object_get_string(json_object_array_get_idx(value, i)));
	return true;
}

/* Returns true if a value is a whole number within [min, max]. The parser takes one that no 64 bits hold for
 * UINT64_MAX, so that `max` is to be less. */
bool bh__json_is_whole(struct json_object *value, uint64_t min, uint64_t max)
{
	uint64_t n;

	if (!json_object_is_type(value, json_type_int) || json_object_get_int64(value) < 0)
		return false;
	n = json_object_get_uint64(value);
	return n >= min && n <= max;
}

/* Returns a number without its fraction, brought within [min, max], or `otherwise` if the value is none. */
uint64_t bh__json_get_u64(struct json_object *value, uint64_t min, uint64_t max, uint64_t otherwise)
{
	double n;

	if (json_object_is_type(value, json_type_int))
		return json_object_get_int64(value) < 0 ? min : CLAMP(json_object_get_uint64(value), min, max);
	n = bh__json_get_real(value, -1, ldexp(1, 64), NAN);
	if (isnan(n))
		return otherwise;
	if (n <= 0)
		return min;
	return n < ldexp(1, 64) ? CLAMP((uint64_t)n, min, max) : max;
}

/* Returns a number brought within [min, max], or `otherwise` if the value is none. */
double bh__json_get_real(struct json_object *value, double min, double max, double otherwise)
{
	double n;

	if (!json_object_is_type(value, json_type_int) && !json_object_is_type(value, json_type_double))
		return otherwise;
	n = json_object_get_double(value);
	return isnan(n) ? otherwise : CLAMP(n, min, max);
}

/* Returns the number that a text begins with in decimal digits, after white space; `max` if it is larger, 0
 * if there is none. Sets `*end`, unless NULL, to what follows it. */
uint64_t bh__digits_get_u64(const char *text, uint64_t max, const char **end)
{
	uint64_t n = 0;

	while (g_ascii_isspace(*text))
		text++;
	for (; g_ascii_isdigit(*text); text++) {
		uint64_t digit = (uint64_t)g_ascii_digit_value(*text);
		n = n > max / 10 || digit > max - n * 10 ? max : n * 10 + digit;
	}
	if (end)
		*end = text;
	return n;
}

/* Extracts the field name that `message` quotes as `field "NAME"` and returns the number of the first line of
 * `text` with an object key of this name. Returns 0 if the message quotes no field or the text has no such
 * key. */
unsigned bh__field_find_line(const char *text, const char *message)
{
	const char *open = strstr(message, "field \"");
	const char *name = open ? open + strlen("field \"") : NULL;
	const char *close = name ? strchr(name, '"') : NULL;
	size_t len;

	if (!close)
		return 0;
	len = (size_t)(close - name);
	for (const char *p = strchr(text, '"'); p; p = strchr(p + 1, '"')) {
		const char *after = p + len + 2;
		if (strncmp(p + 1, name, len) || p[len + 1] != '"')
			continue;
		after += strspn(after, " \t\r\n");
		if (*after == ':')
			return get_line_number_(text, (size_t)(p - text));
	}
	return 0;
}
