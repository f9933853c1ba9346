/* SPDX-License-Identifier: BSD-3-Clause */
/* Texts packed for other nodes. A configuration of 1,400 routes takes 407 kB; sent as it is to the 28 others
 * of a data hall it filled the link of the node that sends it, on which a scheduler's grants wait too, for
 * 0.8 s. Packed it takes a fourteenth. */
#include "bayhoist/packed_text.h"

#include <glib.h>
#include <string.h>
#include <zlib.h>

/* The fastest level: the others take twice as long for a tenth less. */
#define LEVEL_ 1

/* Packs a text in place of what is there. */
void bh__packed_text_set(BH__PackedText *p, const char *text)
{
	size_t text_len = strlen(text);
	uLongf len = compressBound(text_len);
	uint8_t *data = g_malloc(len);
	int status = compress2(data, &len, (const Bytef *)text, text_len, LEVEL_);

	g_assert(status == Z_OK); /* there is room, and memory is aborted on */
	bh__packed_text_clear(p);
	p->data = g_realloc(data, len);
	p->len = (uint32_t)len;
	p->text_len = (uint32_t)text_len;
}

void bh__packed_text_copy(BH__PackedText *p, const BH__PackedText *from)
{
	bh__packed_text_clear(p);
	*p = *from;
	p->data = g_memdup2(from->data, from->len);
}

void bh__packed_text_clear(BH__PackedText *p)
{
	g_free(p->data);
	memset(p, 0, sizeof *p);
}

/* Returns the text, to be freed with g_free(), or NULL if it is damaged or longer than it may be. */
char *bh__packed_text_open(const BH__PackedText *p)
{
	uLongf len = p->text_len;
	char *text;

	if (p->text_len > BH__PACKED_TEXT_MAX)
		return NULL;
	text = g_malloc(p->text_len + 1u);
	if (uncompress((Bytef *)text, &len, p->data, p->len) != Z_OK || len != p->text_len) {
		g_free(text);
		return NULL;
	}
	text[len] = '\0';
	return text;
}
