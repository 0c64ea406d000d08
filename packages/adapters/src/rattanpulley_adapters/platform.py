"""Public names of the clients of the platform."""

from rattanpulley_adapters._internal.platform import host_list
from rattanpulley_adapters._internal.platform import object_store

HttpHostList = host_list.HttpHostList
HttpObjectStore = object_store.HttpObjectStore
