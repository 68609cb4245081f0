"""Small HTTP requests to nodes and stand-ins."""

import http.client
import json

TIMEOUT_S = 5


def request(address, method, path, body=None, headers=None, timeout_s=TIMEOUT_S):
    """(status, body) of one request on a connection of its own."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def get_json(address, path):
    """The JSON answer to a GET, or None while there is none."""
    try:
        status, body = request(address, "GET", path)
        return json.loads(body) if status == 200 else None
    except (OSError, http.client.HTTPException, ValueError):
        return None


def get_text(address, path):
    """The answer to a GET as text, or None while there is none."""
    try:
        status, body = request(address, "GET", path)
        return body.decode() if status == 200 else None
    except (OSError, http.client.HTTPException):
        return None


def post_json(address, path, value):
    """The status of a POST."""
    return request(address, "POST", path, json.dumps(value), {"content-type": "application/json"})[0]
