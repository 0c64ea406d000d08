"""Local deployment of stand-ins and daemons, as processes on loopback."""

from rattanpulley_standins._internal.launch import deployment
from rattanpulley_standins._internal.launch import plan

Deployment = deployment.Deployment
DeploymentError = deployment.DeploymentError
Options = plan.Options
Target = plan.Target
