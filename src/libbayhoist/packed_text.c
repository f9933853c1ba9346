/* SPDX-License-Identifier: BSD-3-Clause */
/* Compression of texts that are sent to other nodes. A configuration of 1,400 routes takes 407 kB. Sending it
 * uncompressed to the 28 other nodes of a data hall fills the sender's link for 0.8 s and delays the grants
 * that a scheduler sends on the same link. Compression reduces its size by a factor of 14. */
#include "bayhoist/packed_text.h"

#include <glib.h>
#include <string.h>
#include <zlib.h>

/* Fastest zlib level. Higher levels take twice as long and save only another tenth of the size. */
#define COMPRESSION_LEVEL_ 1

/* Compresses the NUL-terminated `text` into `p` and frees the text that `p` held before. */
void bh__packed_text_compress(BH__PackedText *p, const char *text)
{
	size_t text_len = strlen(text);
	uLongf len = compressBound(text_len);
	uint8_t *data = g_malloc(len);
	int status = compress2(data, &len, (const Bytef *)text, text_len, COMPRESSION_LEVEL_);

	g_assert(status == Z_OK); /* `data` has the bound's size, and GLib aborts when memory runs out */
	bh__packed_text_clear(p);
	p->data = g_realloc(data, len);
	p->len = (uint32_t)len;
	p->text_len = (uint32_t)text_len;
}

/* Replaces the content of `p` with a deep copy of `from`. */
void bh__packed_text_copy(BH__PackedText *p, const BH__PackedText *from)
{
	bh__packed_text_clear(p);
	*p = *from;
	p->data = g_memdup2(from->data, from->len);
}

/* Frees the compressed data and resets `p` to hold no text. */
void bh__packed_text_clear(BH__PackedText *p)
{
	g_free(p->data);
	memset(p, 0, sizeof *p);
}

/* Returns the uncompressed, NUL-terminated text, which the caller frees with g_free(). Returns NULL if the
 * data is corrupt or the text exceeds BH__PACKED_TEXT_MAX. */
char *bh__packed_text_decompress(const BH__PackedText *p)
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
