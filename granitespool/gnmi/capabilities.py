"""The gNMI method Capabilities."""

from granitespool.gnmi import gnmi_pb2 as pb
from granitespool.gnmi.context import CallContext, first_message
from granitespool.gnmi.values import ENCODINGS
from granitespool.management import model
from granitespool.rpc.calls import Call, Steps

VERSION = "0.8.0"  # the version of gNMI
ORGANIZATION = "granitespool"


def capabilities(_context: CallContext, call: Call) -> Steps:
    """Respond with the model, the encodings and the version."""
    yield from first_message(call, pb.CapabilityRequest)
    module = pb.ModelData(name=model.MODULE, organization=ORGANIZATION, version=model.REVISION)
    response = pb.CapabilityResponse(
        supported_models=[module], supported_encodings=ENCODINGS, gNMI_version=VERSION
    )
    call.send(response.SerializeToString())
