/* SPDX-License-Identifier: BSD-3-Clause */
/* What the system needs to know of a body in the OpenAI-compatible API. */
#ifndef BAYHOIST_SHARE_PROMPT_H
#define BAYHOIST_SHARE_PROMPT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	char *model;
	char *adapter; /* NULL: none; given as "model+adapter" */
	char *text;    /* the whole prompt */
	size_t text_len;
	bool stream;
	uint64_t max_tokens; /* 0: not said */
	uint64_t text_hash;
} Prompt;

bool prompt_parse(Prompt *p, const char *body, size_t len, GError **error);
void prompt_finish(Prompt *p);
char *prompt_expected_piece(uint64_t text_hash, uint64_t offset);
char *prompt_get_piece_text(const char *json, size_t len);

#endif
