/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading completion requests and the pieces of answers. */
#include "prompt.h"

#include <json-c/json.h>
#include <string.h>
#include <xxhash.h>
#include "bayhoist/field.h"

#define MAX_TOKENS_LIMIT 1000000

static bool fail_(GError **error, const char *field, const char *cause);
static bool read_model_(Prompt *p, struct json_object *root, GError **error);
static bool read_text_(Prompt *p, struct json_object *root, GError **error);
static bool append_content_(GString *text, struct json_object *message);
static bool read_options_(Prompt *p, struct json_object *root, GError **error);

static bool fail_(GError **error, const char *field, const char *cause)
{
	g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "field \"%s\": %s", field, cause);
	return false;
}

/* Reads a body of /v1/completions or /v1/chat/completions. On failure the error names field and cause. Free
 * with prompt_finish() in any case. */
bool prompt_parse(Prompt *p, const char *body, size_t len, GError **error)
{
	struct json_object *root;
	bool ok;

	memset(p, 0, sizeof *p);
	root = bh__json_parse(body, len, error);
	if (!root)
		return false;
	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return fail_(error, "body", "must be an object");
	}
	ok = read_model_(p, root, error) && read_options_(p, root, error) && read_text_(p, root, error);
	if (ok)
		p->text_hash = XXH64(p->text, p->text_len, 4);
	json_object_put(root);
	return ok;
}

static bool read_model_(Prompt *p, struct json_object *root, GError **error)
{
	struct json_object *model = json_object_object_get(root, "model");
	const char *name;
	const char *plus;

	if (!model)
		return fail_(error, "model", "required but absent");
	if (!json_object_is_type(model, json_type_string))
		return fail_(error, "model", "must be a string");
	name = json_object_get_string(model);
	plus = strchr(name, '+');
	p->model = plus ? g_strndup(name, (gsize)(plus - name)) : g_strdup(name);
	p->adapter = plus ? g_strdup(plus + 1) : NULL;
	return true;
}

static bool read_options_(Prompt *p, struct json_object *root, GError **error)
{
	struct json_object *stream = json_object_object_get(root, "stream");
	struct json_object *max_tokens = json_object_object_get(root, "max_tokens");
	int64_t n;

	if (stream && !json_object_is_type(stream, json_type_boolean))
		return fail_(error, "stream", "must be true or false");
	p->stream = stream && json_object_get_boolean(stream);
	if (!max_tokens)
		return true;
	n = json_object_get_int64(max_tokens);
	if (!json_object_is_type(max_tokens, json_type_int) || n < 1 || n > MAX_TOKENS_LIMIT)
		return fail_(error, "max_tokens", "must be a whole number from 1 to 1000000");
	p->max_tokens = (uint64_t)n;
	return true;
}

static bool read_text_(Prompt *p, struct json_object *root, GError **error)
{
	struct json_object *prompt = json_object_object_get(root, "prompt");
	struct json_object *messages = json_object_object_get(root, "messages");
	GString *text;

	if (prompt && !json_object_is_type(prompt, json_type_string))
		return fail_(error, "prompt", "must be a string");
	if (prompt) {
		p->text_len = (size_t)json_object_get_string_len(prompt);
		p->text = g_memdup2(json_object_get_string(prompt), p->text_len + 1);
		return true;
	}
	if (!messages)
		return fail_(error, "prompt", "required but absent (or \"messages\")");
	if (!json_object_is_type(messages, json_type_array) || json_object_array_length(messages) == 0)
		return fail_(error, "messages", "must be a list of messages, not empty");
	text = g_string_new(NULL);
	for (size_t i = 0; i < json_object_array_length(messages); i++) {
		if (!append_content_(text, json_object_array_get_idx(messages, i))) {
			g_string_free(text, TRUE);
			return fail_(error, "messages", "each must have \"role\" and \"content\" strings");
		}
	}
	p->text_len = text->len;
	p->text = g_string_free(text, FALSE);
	return true;
}

static bool append_content_(GString *text, struct json_object *message)
{
	struct json_object *role = NULL;
	struct json_object *content = NULL;

	if (!json_object_is_type(message, json_type_object) ||
		!json_object_object_get_ex(message, "role", &role) ||
		!json_object_object_get_ex(message, "content", &content) ||
		!json_object_is_type(role, json_type_string) || !json_object_is_type(content, json_type_string))
		return false;
	g_string_append(text, json_object_get_string(role));
	g_string_append_c(text, '\n');
	g_string_append_len(text, json_object_get_string(content), json_object_get_string_len(content));
	g_string_append_c(text, '\n');
	return true;
}

void prompt_finish(Prompt *p)
{
	g_free(p->model);
	g_free(p->adapter);
	g_free(p->text);
	memset(p, 0, sizeof *p);
}

/* Returns the piece of text that a stand-in engine answers a prompt with at an offset: it tells both, so that
 * a checker knows whose answer it is and that none of it is missing. */
char *prompt_expected_piece(uint64_t text_hash, uint64_t offset)
{
	return g_strdup_printf("%08x.%u ", (unsigned)(text_hash & 0xffffffff), (unsigned)offset);
}

/* Returns the text in one piece of an answer (choices[0].text or .delta.content), or NULL. */
char *prompt_get_piece_text(const char *json, size_t len)
{
	struct json_object *root = bh__json_parse(json, len, NULL);
	struct json_object *choices = NULL;
	struct json_object *choice;
	struct json_object *value = NULL;
	char *text = NULL;

	if (json_object_is_type(root, json_type_object) && json_object_object_get_ex(root, "choices", &choices) &&
		json_object_is_type(choices, json_type_array) && json_object_array_length(choices) > 0) {
		choice = json_object_array_get_idx(choices, 0);
		if (json_object_is_type(choice, json_type_object) &&
			!json_object_object_get_ex(choice, "text", &value) &&
			json_object_object_get_ex(choice, "delta", &value) &&
			json_object_is_type(value, json_type_object))
			value = json_object_object_get(value, "content");
		if (json_object_is_type(value, json_type_string))
			text = g_strdup(json_object_get_string(value));
	}
	json_object_put(root);
	return text;
}
