"""Public API of the platform clients."""

from rattanpulley_adapters._internal.platform import host_list
from rattanpulley_adapters._internal.platform import object_store

HttpHostList = host_list.HttpHostList
HttpObjectStore = object_store.HttpObjectStore
