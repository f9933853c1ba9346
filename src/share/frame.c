/* SPDX-License-Identifier: BSD-3-Clause */
/* Writing and reading frames. */
#include "frame.h"

#include <arpa/inet.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

static void mac_(const FrameSession *s, uint64_t sequence, const char *body, size_t len,
				 unsigned char out[FRAME_MAC_LEN]);
static void put_u64_(unsigned char *at, uint64_t value);
static uint64_t get_u64_(const unsigned char *at);

/* Derives the key from the shared secret of the settings. */
void frame_set_key(FrameSession *s, const char *secret)
{
	SHA256((const unsigned char *)secret, strlen(secret), s->key);
}

/* Sets `out` to the session of the other direction of the same connection. Its nonce differs, so that no
 * frame can be played back to its sender. */
void frame_reverse(const FrameSession *s, FrameSession *out)
{
	*out = *s;
	out->next_sequence = 0;
	for (int i = 0; i < FRAME_NONCE_LEN; i++)
		out->nonce[i] = (unsigned char)~s->nonce[i];
}

static void put_u64_(unsigned char *at, uint64_t value)
{
	for (int i = 0; i < 8; i++)
		at[i] = (unsigned char)(value >> (56 - 8 * i));
}

static uint64_t get_u64_(const unsigned char *at)
{
	uint64_t value = 0;
	for (int i = 0; i < 8; i++)
		value = value << 8 | at[i];
	return value;
}

static void mac_(const FrameSession *s, uint64_t sequence, const char *body, size_t len,
				 unsigned char out[FRAME_MAC_LEN])
{
	unsigned char inner[FRAME_NONCE_LEN + 8 + SHA256_DIGEST_LENGTH];
	unsigned char full[SHA256_DIGEST_LENGTH];
	unsigned full_len = sizeof full;

	memcpy(inner, s->nonce, FRAME_NONCE_LEN);
	put_u64_(inner + FRAME_NONCE_LEN, sequence);
	SHA256((const unsigned char *)body, len, inner + FRAME_NONCE_LEN + 8);
	HMAC(EVP_sha256(), s->key, sizeof s->key, inner, sizeof inner, full, &full_len);
	memcpy(out, full, FRAME_MAC_LEN);
}

/* Appends one frame to `out`. */
void frame_write(FrameSession *s, struct evbuffer *out, const char *body, size_t len)
{
	unsigned char header[FRAME_HEADER_LEN];
	uint32_t n = htonl((uint32_t)len);

	memcpy(header, &n, 4);
	put_u64_(header + 4, s->next_sequence);
	mac_(s, s->next_sequence, body, len, header + 12);
	s->next_sequence++;
	evbuffer_add(out, header, sizeof header);
	evbuffer_add(out, body, len);
}

/* Takes one frame from `in`. With FRAME_OK `*body` is to be freed with free(). FRAME_BAD: too long, out of
 * order, or not by a holder of the key; the connection must be closed. */
FrameStatus frame_read(FrameSession *s, struct evbuffer *in, char **body, size_t *len)
{
	unsigned char header[FRAME_HEADER_LEN];
	unsigned char mac[FRAME_MAC_LEN];
	uint32_t n;

	if (evbuffer_copyout(in, header, sizeof header) < (ev_ssize_t)sizeof header)
		return FRAME_INCOMPLETE;
	memcpy(&n, header, 4);
	*len = ntohl(n);
	if (*len > (s->next_sequence ? FRAME_BODY_MAX : FRAME_FIRST_BODY_MAX) ||
		get_u64_(header + 4) != s->next_sequence)
		return FRAME_BAD;
	if (evbuffer_get_length(in) < sizeof header + *len)
		return FRAME_INCOMPLETE;
	evbuffer_drain(in, sizeof header);
	*body = malloc(*len + 1);
	if (!*body)
		abort();
	evbuffer_remove(in, *body, *len);
	(*body)[*len] = '\0';
	mac_(s, s->next_sequence, *body, *len, mac);
	if (CRYPTO_memcmp(mac, header + 12, FRAME_MAC_LEN) != 0) {
		free(*body);
		*body = NULL;
		return FRAME_BAD;
	}
	s->next_sequence++;
	return FRAME_OK;
}
