"""Configuration records of customers, services and kinds of work."""

from trefoilgw.records.core import Change
from trefoilgw.records.core import Configuration
from trefoilgw.records.core import Customer
from trefoilgw.records.core import difference
from trefoilgw.records.core import document_revision
from trefoilgw.records.core import encode_document
from trefoilgw.records.core import Kind
from trefoilgw.records.core import MAX_DOCUMENT_BYTES
from trefoilgw.records.core import parse_document
from trefoilgw.records.core import Service
from trefoilgw.records.core import to_json_values

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "Change",
    "Configuration",
    "Customer",
    "Kind",
    "Service",
    "difference",
    "document_revision",
    "encode_document",
    "parse_document",
    "to_json_values",
]
