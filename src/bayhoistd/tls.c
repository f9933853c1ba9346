/* SPDX-License-Identifier: BSD-3-Clause */
/* TLS on the sides of callers, operators and endpoints. The contexts are replaced on SIGHUP; connections that
 * are open keep the old ones. */
#include "daemon.h"

#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>

static bool fail_(GError **error, const char *field, const char *path);

static bool fail_(GError **error, const char *field, const char *path)
{
	g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "field \"%s\": cannot use %s: %s", field, path,
				ERR_reason_error_string(ERR_peek_last_error()));
	ERR_clear_error();
	return false;
}

/* Loads certificate, key and authorities that the settings name. On failure the old ones stay. */
bool tls_load(Daemon *d, GError **error)
{
	const Settings *s = &d->settings;
	SSL_CTX *server;
	SSL_CTX *client = SSL_CTX_new(TLS_client_method());

	SSL_CTX_set_min_proto_version(client, TLS1_2_VERSION);
	if (s->tls_ca[0]) {
		if (SSL_CTX_load_verify_locations(client, s->tls_ca, NULL) != 1) {
			SSL_CTX_free(client);
			return fail_(error, "tls_ca", s->tls_ca);
		}
		SSL_CTX_set_verify(client, SSL_VERIFY_PEER, NULL);
	}
	if (s->tls_certificate[0]) {
		server = SSL_CTX_new(TLS_server_method());
		SSL_CTX_set_min_proto_version(server, TLS1_2_VERSION);
		if (SSL_CTX_use_certificate_chain_file(server, s->tls_certificate) != 1 ||
			SSL_CTX_use_PrivateKey_file(server, s->tls_key, SSL_FILETYPE_PEM) != 1 ||
			SSL_CTX_check_private_key(server) != 1) {
			SSL_CTX_free(server);
			SSL_CTX_free(client);
			return fail_(error, "tls_certificate", s->tls_certificate);
		}
		SSL_CTX_free(d->server_tls);
		d->server_tls = server;
	}
	SSL_CTX_free(d->client_tls);
	d->client_tls = client;
	return true;
}

/* Makes the buffer for an accepted connection; called by evhttp. */
struct bufferevent *tls_server_bufferevent(struct event_base *base, void *daemon)
{
	Daemon *d = daemon;
	return bufferevent_openssl_socket_new(base, -1, SSL_new(d->server_tls), BUFFEREVENT_SSL_ACCEPTING,
										  BEV_OPT_CLOSE_ON_FREE);
}

/* Makes the buffer for a connection that this process opens. */
struct bufferevent *tls_client_bufferevent(Daemon *d)
{
	return bufferevent_openssl_socket_new(d->base, -1, SSL_new(d->client_tls), BUFFEREVENT_SSL_CONNECTING,
										  BEV_OPT_CLOSE_ON_FREE);
}
